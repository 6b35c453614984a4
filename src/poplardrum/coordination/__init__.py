"""Decisions about membership and key ownership; performs no I/O."""
