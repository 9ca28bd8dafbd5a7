"""policies of kestreltally; see docs/DESIGN.md."""
