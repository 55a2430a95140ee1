"""Simulation of patterns of load against the daemon's decision code, in virtual time."""
