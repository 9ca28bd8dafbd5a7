"""Operators' statement language, queries and configuration changes."""
