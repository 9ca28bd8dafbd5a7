"""Messages between daemons of the product's own way, by thrift."""
