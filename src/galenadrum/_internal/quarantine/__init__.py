"""Attribution of server crashes to prompt parts and requests, and their quarantine."""
