"""Adapters for the users' platform: store, endpoints, jobs, settings."""
