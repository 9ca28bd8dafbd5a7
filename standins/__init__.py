"""Test doubles for the systems around the daemons, one module each."""
