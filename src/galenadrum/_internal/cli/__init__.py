"""Root command, shared options and output of the command line."""
