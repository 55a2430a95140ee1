"""Entries of the platform's list of instances, as the key-value service holds them."""

import json

from pearward_protocol.etcd import KeyValue
from pearward_state.records import Instance, InstanceState

__all__ = ["INSTANCES", "parse_instance"]

INSTANCES = "instances/"
"""Prefix of the list's keys."""


def parse_instance(pair: KeyValue) -> Instance | None:
    """Read an entry of the platform's list of instances; None where it makes no sense."""
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
