"""Decisions about placement, shares and admission, free of I/O."""
