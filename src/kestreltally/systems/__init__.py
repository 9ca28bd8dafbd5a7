"""systems of kestreltally; see docs/DESIGN.md."""
