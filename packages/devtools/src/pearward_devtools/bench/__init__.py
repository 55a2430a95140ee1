"""Measurements; each group prints one JSON object a line."""
