"""Parser of the platform's list of instances in the key-value service."""

import json

from pearward_protocol.etcd import KeyValue
from pearward_state.records import Instance, InstanceState

__all__ = ["INSTANCES", "parse_instance"]

INSTANCES = "instances/"
"""Prefix of the keys of instances."""


def parse_instance(pair: KeyValue) -> Instance | None:
    """Parse an entry of the platform's list of instances; return None if it is invalid."""
    try:
        raw = json.loads(pair.value)
        return Instance(
            name=pair.key.rpartition("/")[2],
            address=str(raw["address"]),
            failure_domain=str(raw["failure_domain"]),
            state=InstanceState(raw.get("state", "live")),
            peer_port=int(raw.get("peer_port", 0)),
            caller_port=int(raw.get("caller_port", 0)),
            admin_port=int(raw.get("admin_port", 0)),
            admin_address=str(raw.get("admin_address", raw["address"])),
        )
    except (ValueError, KeyError, TypeError):
        return None
