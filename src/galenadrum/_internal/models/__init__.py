"""Small value types that the other packages share."""
