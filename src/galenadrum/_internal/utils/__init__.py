"""Utilities, one subject per module, that don't import other parts of the package."""
