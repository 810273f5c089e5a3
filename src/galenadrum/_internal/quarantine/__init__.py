"""Attribution of server crashes to prompt parts, and the parts in quarantine."""
