"""Streams that must go on at the software version that began them."""
