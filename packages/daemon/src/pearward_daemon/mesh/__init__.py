"""The daemon on a users' platform: a store for what is agreed, targets that beat to it."""
