"""Finds out whether this daemon reaches any endpoint."""
