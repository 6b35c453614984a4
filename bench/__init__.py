"""Measurements of `make bench`."""
