"""The files that spans are written to and read from."""

ROTATED_SUFFIX = ".1"
