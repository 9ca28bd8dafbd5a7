"""callers of kestreltally; see docs/DESIGN.md."""
