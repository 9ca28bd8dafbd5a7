"""platform of kestreltally; see docs/DESIGN.md."""
