"""Decisions of pearward: leases, assignment, routing, retries, admission.

Everything here is sans-I/O: an event and the time go in, actions come out. Clocks
and random sources are handed in.
"""
