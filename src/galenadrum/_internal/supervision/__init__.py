"""The tree of supervised, long-lived tasks of a daemon."""
