"""Load, experiments and measurements over the stand-ins."""
