"""The directory of backend servers: announcements, their spread and their age."""
