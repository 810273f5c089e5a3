"""Benchmarks that report their results as ratios to named baselines."""
