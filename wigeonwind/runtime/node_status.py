"""Status of a process and of the members that it knows, for `wigeonctl status`."""

from typing import Any

from wigeonwind.runtime.node import Node
from wigeonwind.state.membership import MemberRecord


def node_status(node: Node, ready: bool) -> dict[str, Any]:
    """Return the status of the process and of all members that it knows.

    The `text_version` of a member is its version of the configuration, None if this
    process is not linked to it.
    """
    local = node.members.local
    return {
        "id": local.member_id,
        "role": local.role,
        "zone": local.zone,
        "ready": ready,
        "links": len(node.links),
        "roller": node.rollout_controller is not None
        and node.rollout_controller.holds_lease,
        "members": [_member_fields(node, record) for record in _sorted_members(node)],
    }


def _sorted_members(node: Node) -> list[MemberRecord]:
    return sorted(
        node.members.records(), key=lambda each: (each.role, each.zone, each.member_id)
    )


def _member_fields(node: Node, record: MemberRecord) -> dict[str, Any]:
    is_local = record.member_id == node.members.local.member_id
    version = node.gossip.configuration_version_of(record.member_id)
    suspect = node.members.is_suspect(record.member_id)
    return {
        "member": record.member_id,
        "role": record.role,
        "zone": record.zone,
        "service": record.service,
        "address": record.address,
        "state": "suspect" if suspect else record.state.name.lower(),
        "linked": is_local or node.links.get(record.member_id) is not None,
        "text_version": node.configuration.version if is_local else version,
    }
