"""Entry hosts of a routing configuration: callers' requests to back ends."""
