"""Control host: replicated log, resources, claims and engine orders."""
