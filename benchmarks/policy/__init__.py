"""The policy under load and faults, on a paused clock, against baselines."""
