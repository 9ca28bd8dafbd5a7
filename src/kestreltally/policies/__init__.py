"""The registry of placement policies, and the policies themselves."""
