"""Announcements, leases and digests of backend servers."""
