"""Implementation of the commands, without the parsing of arguments."""
