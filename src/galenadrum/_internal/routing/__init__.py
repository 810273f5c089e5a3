"""The routing policy: admission, queues, choice of server, retries, ejection."""
