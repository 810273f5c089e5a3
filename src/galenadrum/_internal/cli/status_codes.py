"""Exit codes of the command line."""

SUCCESS = 0
# Findings in files or changes, or differences found by ``diff``.
FINDINGS = 1
# The command line is invalid.
USAGE = 2
# No control host answered as the leader; nothing was changed.
UNREACHABLE = 3
# A resource changed after it was read; nothing was changed.
CONFLICT = 4
# The control host refused the call: token, owner or form.
REFUSED = 5
# The change may or may not have been accepted; resend it with its change id.
OUTCOME_UNKNOWN = 6
# A file, data folder or address of this host can't be used.
HOST = 7
# An unexpected error in the program.
INTERNAL = 70
# Interrupted by the user.
INTERRUPTED = 130
