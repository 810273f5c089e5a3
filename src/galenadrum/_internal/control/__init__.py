"""The control host: replicated log, resources, claims and orders."""
