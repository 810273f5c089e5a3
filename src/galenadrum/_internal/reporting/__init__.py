"""Reports of a period from the logs of all hosts."""
