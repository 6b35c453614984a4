"""Development tools: test runner, build of the binary and soak test."""
