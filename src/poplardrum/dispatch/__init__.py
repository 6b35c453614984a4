"""Entries that coordinate jobs and agents that run tasks at endpoints."""
