"""The declared state and the claims that the replicated log carries."""
