"""Naming of the span files, shared by writer and reader."""

ROTATED_SUFFIX = ".1"
