"""The entry: takes requests from clients and relays them to endpoints."""
