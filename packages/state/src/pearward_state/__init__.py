"""Frozen data of pearward: the operators' table, shard maps and assignment records.

Nothing in this package does I/O, reads a clock or draws a random number.
"""
