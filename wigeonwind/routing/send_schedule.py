"""How often a router sends to its peers, by the size of the fleet."""

from math import ceil

SEND_INTERVAL_MS = 100.0
"""Interval between messages in a small fleet; prefill of a prompt takes about as
long."""

BASE_INTERVAL_PEERS = 12
"""Number of peers above which the interval grows in proportion, so that a process sends
and receives about 120 messages per second."""

MAX_PEERS_PER_SEND = 48
"""Most peers that get a message per interval; a larger fleet is sampled at random."""

MAX_GAP_MS = 60_000
"""Time that is stated where the next message may never come."""


def send_interval_ms(peers: int) -> float:
    """Return the interval between messages for a number of peers.

    >>> send_interval_ms(3), send_interval_ms(24), send_interval_ms(300)
    (100.0, 200.0, 400.0)
    """
    return SEND_INTERVAL_MS * max(
        1.0, min(peers, MAX_PEERS_PER_SEND) / BASE_INTERVAL_PEERS
    )


def stop_gaps_ms(peers: int, stopping: int) -> tuple[int, int]:
    """Return the times from one message of a stop to the next, to the same peer.

    The first is for the `stopping` ones of all `peers`, which come first, the second
    for the others.

    >>> stop_gaps_ms(300, 2), stop_gaps_ms(300, 96)
    ((400, 2800), (800, 60000))
    """
    interval_ms = send_interval_ms(peers)
    first_ms = round(interval_ms * max(1, ceil(stopping / MAX_PEERS_PER_SEND)))
    room = MAX_PEERS_PER_SEND - stopping
    if room <= 0:
        return first_ms, MAX_GAP_MS
    return first_ms, round(interval_ms * max(1, ceil((peers - stopping) / room)))
