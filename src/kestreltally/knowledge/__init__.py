"""Keeps a daemon's state up to date, from the store and from leaders' feeds."""
