"""What `wigeonctl status` shows of a process and of those it is linked to."""

from typing import Any

from wigeonwind.runtime.node import Node
from wigeonwind.state.membership import MemberRecord


def node_status(node: Node, ready: bool) -> dict[str, Any]:
    """Return members, their state and the version of the text each has in force.

    `text_version` is None for members that this process is not linked to.
    """
    own = node.members.local
    return {
        "id": own.member_id,
        "role": own.role,
        "zone": own.zone,
        "ready": ready,
        "links": len(node.links),
        "roller": node.rollout_controller is not None
        and node.rollout_controller.holds_lease,
        "members": [_member(node, record) for record in _ordered(node)],
    }


def _ordered(node: Node) -> list[MemberRecord]:
    return sorted(
        node.members.records(), key=lambda each: (each.role, each.zone, each.member_id)
    )


def _member(node: Node, record: MemberRecord) -> dict[str, Any]:
    is_own = record.member_id == node.members.local.member_id
    version = node.gossip.configuration_version_of(record.member_id)
    suspect = node.members.is_suspect(record.member_id)
    return {
        "member": record.member_id,
        "role": record.role,
        "zone": record.zone,
        "service": record.service,
        "address": record.address,
        "state": "suspect" if suspect else record.state.name.lower(),
        "linked": is_own or node.links.get(record.member_id) is not None,
        "text_version": node.configuration.version if is_own else version,
    }
