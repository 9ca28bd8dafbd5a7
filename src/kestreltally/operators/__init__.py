"""What operators read and change, and their language."""
