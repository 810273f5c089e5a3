"""Parsing and validation of settings files and declaration files."""
