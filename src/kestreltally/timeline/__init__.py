"""timeline of kestreltally; see docs/DESIGN.md."""
