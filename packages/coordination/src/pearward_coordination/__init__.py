"""Decisions of pearward: leases, assignment, routing, retries, admission.

All modules are sans-I/O: they take events and the current time and return actions. Clocks and
random sources are passed in.
"""
