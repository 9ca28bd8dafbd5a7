"""Placement policies of the product's own way, in a registry."""
