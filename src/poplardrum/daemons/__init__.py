"""The two long-running processes: entry and agent."""
