"""Announcements from endpoints and HTTP calls to them."""
