"""The daemons' decisions: events, merged time lines, and explanations from logs."""
