"""Plays patterns of load against the daemon's own decisions, in virtual time."""
