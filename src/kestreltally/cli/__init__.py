"""cli of kestreltally; see docs/DESIGN.md."""
