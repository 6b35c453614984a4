"""HTTP interface for operators and the rules they write."""
