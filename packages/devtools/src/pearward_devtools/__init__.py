"""Development tooling: stand-ins, fault proxy, launcher and bench; not shipped."""
