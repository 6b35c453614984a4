"""Randomized soak of the real processes under faults from outside."""
