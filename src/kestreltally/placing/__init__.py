"""Leader election and the placement of adapters on engines."""
