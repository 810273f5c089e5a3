"""Dispatching of staged requests: admission, stage calls, engine placement.

A dispatcher owns the backend servers of one availability zone, so it knows their
load exactly and can batch pieces of several requests into one call. All modules
except the driver are free of I/O.
"""
