"""Engines and plain services of the product's own way, over HTTP."""
