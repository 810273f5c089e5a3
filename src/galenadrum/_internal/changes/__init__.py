"""Change sets on the operator's side: preparing, comparing, resending."""
