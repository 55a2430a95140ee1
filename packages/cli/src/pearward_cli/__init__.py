"""The operators' command line: plan, apply and edit the table; show the daemons' state."""
