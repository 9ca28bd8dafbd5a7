"""Requests of the product's own way, from admission to the end of the answer."""
