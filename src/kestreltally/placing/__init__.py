"""The leader: who may give orders, and which adapters stand on which engines."""
