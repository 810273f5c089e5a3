"""Fake backend servers and engines, and the demonstration of the whole path."""
