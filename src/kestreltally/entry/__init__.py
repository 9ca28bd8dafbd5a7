"""The entry: accepts client requests and relays them to endpoints."""
