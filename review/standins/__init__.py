"""Stand-ins of the platform, its servers and clients for the review's scripts; standard library only."""
