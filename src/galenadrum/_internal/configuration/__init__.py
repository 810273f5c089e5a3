"""Checks, replicated state and look-ups of routing configurations."""
