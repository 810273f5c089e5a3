"""Logs, traces and metrics of the daemons."""
