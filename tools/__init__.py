"""Tools for development: test runner and build of the binary."""
