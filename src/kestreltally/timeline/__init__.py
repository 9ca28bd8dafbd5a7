"""What daemons decided: events, their merge, and explanations from logs."""
