"""State replicated through the log: resources, change results, claims and orders."""
