"""What waits, what is turned away and when it may return while load is over capacity.

Each module answers one pattern of load and says why its limits are what they are. Nothing
here does I/O or reads a clock: times are seconds of one steady clock, handed in.
"""
