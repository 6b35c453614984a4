"""Decisions about admission, placement, fair shares; performs no I/O."""
