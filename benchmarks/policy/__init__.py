"""Simulation that compares the routing policy with baselines under load and faults."""
