"""The tree of long-lived tasks."""
