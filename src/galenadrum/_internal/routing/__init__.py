"""Routing policy: admission, queueing, server selection, retries and ejection."""
