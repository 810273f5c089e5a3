"""Entry host: caller API, pipeline execution and graceful shutdown."""
