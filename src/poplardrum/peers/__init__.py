"""Messages and links between the processes of the system."""
