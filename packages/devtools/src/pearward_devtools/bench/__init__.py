"""Benchmarks; each group prints its measurements as one JSON object per line."""
