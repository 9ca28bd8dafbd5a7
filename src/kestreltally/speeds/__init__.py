"""How fast and how reliable each engine is, as observed by all daemons together."""
