"""Limits on waiting, load shedding and caller retries while load exceeds capacity.

Each module handles one load pattern and documents the reasons for its limits. No I/O and no clock:
times are seconds of one steady clock, passed in by the caller.
"""
