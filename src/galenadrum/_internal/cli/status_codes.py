"""Exit codes of the command line, by kind."""

SUCCESS = 0
FINDINGS = 1
USAGE = 2
UNREACHABLE = 3
CONFLICT = 4
REFUSED = 5
INTERNAL = 70
