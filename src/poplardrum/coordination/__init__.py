"""Decisions about membership, submissions and versions, free of I/O."""
