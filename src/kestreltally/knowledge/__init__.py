"""How knowledge reaches a daemon: from the store, and from the leader's feed."""
