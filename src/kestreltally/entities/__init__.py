"""entities of kestreltally; see docs/DESIGN.md."""
