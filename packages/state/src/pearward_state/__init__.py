"""Immutable data types of pearward: configuration tables, shard maps, assignment records.

This package performs no I/O, reads no clock and uses no random numbers.
"""
