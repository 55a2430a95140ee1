"""Stand-ins for the platform, and a cluster of daemons that uses them; not shipped."""
