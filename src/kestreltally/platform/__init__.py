"""The adapter to the users' platform: its names, formats and calls.

This package makes no decisions, and no code outside it depends on names of the
platform.
"""
