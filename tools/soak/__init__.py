"""Randomized soak test of the real processes with injected faults."""
