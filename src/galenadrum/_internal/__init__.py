"""The implementation; nothing below this package is public."""
