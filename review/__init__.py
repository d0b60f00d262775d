"""An independent review: cases that show faults, and what they share."""
