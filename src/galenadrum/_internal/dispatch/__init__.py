"""Placement of staged requests: stage calls, model engines, admission.

A dispatcher owns the backend servers of one availability zone, so that what is
sent to them is known exactly and pieces of many requests can share a call. All
modules but the driver are free of input and output.
"""
