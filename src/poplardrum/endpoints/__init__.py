"""Announcements from endpoints and calls to them."""
