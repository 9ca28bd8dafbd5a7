"""Decides when prompts begin to be read at an engine, and in which order."""
