"""The platform's side: configuration watch, host list and writes."""
