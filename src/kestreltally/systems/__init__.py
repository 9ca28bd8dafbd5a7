"""Systems of the product's own way: decisions over a daemon's tables, each tick."""
