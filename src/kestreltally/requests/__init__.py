"""Serves requests from admission to the end of the answer."""
