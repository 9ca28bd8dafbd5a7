"""The adapter to the users' platform: its names, formats and calls.

Nothing here decides anything, and nothing outside this package knows a name of the
platform's.
"""
