"""HTTP clients of model engines and plain services."""
