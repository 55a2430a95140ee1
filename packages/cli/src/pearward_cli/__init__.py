"""Placeholder of the package."""
