"""Estimates of when an endpoint would answer a request."""
