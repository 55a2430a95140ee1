"""The daemon on a users' platform: shared state in a store, targets that send heartbeats."""
