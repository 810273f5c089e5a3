"""The implementation; no module of this package is public."""
