"""Leaf helpers, one subject a module, that import nothing above them."""
