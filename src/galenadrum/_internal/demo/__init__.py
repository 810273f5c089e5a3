"""Fake backend servers and the demonstration that uses them."""
