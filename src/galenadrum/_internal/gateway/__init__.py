"""The entry host of a routing configuration: a proxy from callers to back ends."""
