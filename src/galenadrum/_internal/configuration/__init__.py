"""Routing configurations: checks, the replicated state, look-ups."""
