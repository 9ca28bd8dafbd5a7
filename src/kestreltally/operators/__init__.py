"""operators of kestreltally; see docs/DESIGN.md."""
