"""Access to the platform: configuration watch, host list and writes."""
