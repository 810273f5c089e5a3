"""Traces, metrics and logs."""
