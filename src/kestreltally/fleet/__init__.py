"""What a daemon knows: routes, services, endpoints, adapters and versions."""
