"""Small stand-ins for the systems around the daemons, one module each."""
