"""Simulation of entries and agents in virtual time with injected faults."""
