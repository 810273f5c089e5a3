"""Benchmarks; figures are ratios against named baselines."""
