"""peers of kestreltally; see docs/DESIGN.md."""
