"""A serving layer for very many LoRA adapters over shared model engines."""
