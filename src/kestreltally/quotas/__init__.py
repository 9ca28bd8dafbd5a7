"""Quotas of organisations, enforced over all daemons together."""
