"""Connections of clients: how many there are, and what they make this process hold."""
