"""The command line: its root command, output and options."""
