"""Development tooling: stand-ins, fault proxy, launcher and bench. It is not shipped."""
