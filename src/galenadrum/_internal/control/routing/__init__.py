"""Control hosts of a routing configuration."""
