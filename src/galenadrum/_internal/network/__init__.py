"""Network clients, servers and links between hosts."""
