"""The entry host: callers, pipeline execution and drains."""
