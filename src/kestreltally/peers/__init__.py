"""Messages between ``kestreltallyd`` daemons over Thrift."""
