"""The callers' HTTP interface of the product's own way."""
