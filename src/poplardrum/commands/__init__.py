"""Plain functions behind the commands of the command line."""
