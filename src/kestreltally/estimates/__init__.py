"""Estimates of time: when a request would be answered at an endpoint, and how sure."""
