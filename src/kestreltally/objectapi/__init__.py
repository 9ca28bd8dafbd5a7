"""Clients of the object API and the VM list of the product's own way of running."""
