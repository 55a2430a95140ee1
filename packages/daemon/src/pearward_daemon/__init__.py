"""The daemon beside each target instance: settings, request path, control, operators' port."""
