"""Exit codes of the command line, by kind."""

SUCCESS = 0
# Findings in files or changes; differences found by ``diff``.
FINDINGS = 1
# The command line itself is wrong.
USAGE = 2
# No control host answered as the leader; nothing was changed.
UNREACHABLE = 3
# A resource changed after it was read; nothing was changed.
CONFLICT = 4
# The control host refused the call: token, owner or form.
REFUSED = 5
# The change may or may not be accepted; resend it under its change id.
OUTCOME_UNKNOWN = 6
# A file, data folder or address of this host can't be used.
HOST = 7
# A fault in the program.
INTERNAL = 70
# Ended by the user's interrupt.
INTERRUPTED = 130
