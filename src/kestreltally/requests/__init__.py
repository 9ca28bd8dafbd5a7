"""requests of kestreltally; see docs/DESIGN.md."""
