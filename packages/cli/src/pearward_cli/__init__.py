"""The operators' command: plan, apply and edit the table; look at what runs."""
