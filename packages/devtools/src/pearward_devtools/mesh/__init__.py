"""Stand-ins for the users' platform, and a cluster of daemons on it; not shipped."""
