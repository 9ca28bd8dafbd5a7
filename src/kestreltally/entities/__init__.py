"""Data types shared by the systems of a daemon."""
