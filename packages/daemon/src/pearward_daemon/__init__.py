"""The daemon on each target instance: settings, request path, control plane, admin port."""
