"""Benchmarks that `make bench` runs."""
