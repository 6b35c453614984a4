"""Jobs that the entry coordinates itself and agents run beside endpoints."""
