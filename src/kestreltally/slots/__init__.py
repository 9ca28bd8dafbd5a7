"""Slots at brittle endpoints: how many requests all daemons together may send there."""
