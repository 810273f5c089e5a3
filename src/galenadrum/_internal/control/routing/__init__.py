"""Control host that replicates and serves the routing configuration."""
