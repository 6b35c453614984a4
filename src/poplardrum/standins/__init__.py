"""Small stand-ins of outside systems for demo, tests and measurements."""
