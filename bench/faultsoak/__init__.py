"""A randomised soak of the true daemons under faults from outside them."""
