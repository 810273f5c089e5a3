"""The replicated log of the control hosts."""
