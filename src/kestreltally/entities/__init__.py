"""Rows of the tables of the product's own way."""
