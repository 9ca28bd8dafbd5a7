"""Clients of the object API and the VM list for the daemon ``kestreltallyd``."""
