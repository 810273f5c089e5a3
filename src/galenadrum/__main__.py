"""Runs the command line with ``python -m galenadrum``."""

from galenadrum._internal.cli.main import main

if __name__ == "__main__":
    main()
