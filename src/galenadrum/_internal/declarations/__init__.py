"""Validation of declared resources, from files and in the replicated state."""
