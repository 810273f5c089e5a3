"""Membership of a zone: backend servers, entry hosts, digests of other zones."""
