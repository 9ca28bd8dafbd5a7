"""endpoints of kestreltally; see docs/DESIGN.md."""
