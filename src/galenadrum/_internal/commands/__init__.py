"""One module for each command, named as the user types it."""
