"""A daemon's view of routes, services, endpoints, adapters and versions."""
