"""Messages between the processes of the system: frozen, typed and numbered.

On the wire a message is one CBOR array `[PROTOCOL_VERSION, number, field, ...]`, with
the fields in the order of the class. Numbers are never reused. A newer process may
append fields with defaults; an older one ignores what it does not know.
"""

from dataclasses import dataclass

from wigeonwind.links.message_registry import (
    MESSAGE_TYPE_BY_NUMBER as MESSAGE_TYPE_BY_NUMBER,
)
from wigeonwind.links.message_registry import PROTOCOL_VERSION as PROTOCOL_VERSION
from wigeonwind.links.message_registry import message


@message(1)
@dataclass(frozen=True)
class Hello:
    """First message of each side of a link."""

    member_id: str
    incarnation: int
    role: str
    zone: str
    service: str
    text_version: int
    token: str = ""
    """Proof of membership; checked where a link key is set."""
    address: str = ""
    """host:port on which the sender accepts links; empty if it accepts none."""


@message(2)
@dataclass(frozen=True)
class Submit:
    """An entry asks a side to run one attempt of a request.

    `budget_ms` is the time left until the caller's deadline, 0 for none.
    `resume_text` is what the caller already has of the answer. `claim_token` is set for
    bookings. `target_incarnation` must be that of the receiving side.
    """

    request_id: str
    attempt: int
    target_incarnation: int
    text_version: int
    service: str
    class_name: str
    customer: str
    method: str
    path: str
    headers: list[list[str]]
    body: bytes
    stream: bool
    prompt_tokens: int
    budget_ms: float
    resume_text: str = ""
    resume_tokens: int = 0
    claim_token: str = ""
    traceparent: str = ""


@message(3)
@dataclass(frozen=True)
class Queued:
    """The side has taken the attempt and it waits at `position` (0 is next)."""

    request_id: str
    attempt: int
    position: int


@message(4)
@dataclass(frozen=True)
class Refused:
    """The side will never run this attempt: certain not-run."""

    request_id: str
    attempt: int
    code: str
    reason: str
    retry_after_ms: float


@message(5)
@dataclass(frozen=True)
class Started:
    """The attempt has been sent to the endpoint."""

    request_id: str
    attempt: int


@message(6)
@dataclass(frozen=True)
class Head:
    """Status and headers of the endpoint's answer, for plain services."""

    request_id: str
    attempt: int
    status: int
    headers: list[list[str]]


@message(7)
@dataclass(frozen=True)
class Chunk:
    """A piece of the answer; `seq` counts from 0 without gaps in one attempt.

    For models `data` is UTF-8 answer text of `tokens` tokens; for plain services it is
    body bytes and `tokens` is 0.
    """

    request_id: str
    attempt: int
    seq: int
    data: bytes
    tokens: int


@message(8)
@dataclass(frozen=True)
class Finished:
    """The attempt has its whole answer; `chunks` is the number of chunks sent."""

    request_id: str
    attempt: int
    chunks: int
    finish_reason: str
    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int


@message(9)
@dataclass(frozen=True)
class Failed:
    """The attempt ended without a whole answer.

    `started` False means that it certainly did not run at the endpoint.
    """

    request_id: str
    attempt: int
    started: bool
    code: str
    reason: str


@message(10)
@dataclass(frozen=True)
class Withdraw:
    """An entry asks for an attempt that has not started to be given back."""

    request_id: str
    attempt: int


@message(11)
@dataclass(frozen=True)
class WithdrawResult:
    """Whether the attempt was given back; True means it never starts, certainly."""

    request_id: str
    attempt: int
    withdrawn: bool


@message(12)
@dataclass(frozen=True)
class Cancel:
    """The caller has gone: stop the attempt, started or not."""

    request_id: str
    attempt: int


@message(13)
@dataclass(frozen=True)
class LoadReport:
    """The state of a side's queue and engine, sent at most once a second.

    `waiting_by_class` and `running_by_class` pair class name and count.
    `engine_age_ms` is the age of the engine's own report. `ms_per_token` is the recent
    median.
    """

    member_id: str
    running: int
    slots: int
    waiting_by_class: list[list]
    engine_running: int
    engine_age_ms: float
    ms_per_token: float
    ms_to_first_token: float
    queued_tokens: int
    ready: bool
    running_by_class: list[list] | None = None


@message(14)
@dataclass(frozen=True)
class Leaving:
    """The sender starts to leave: send it no new work."""

    member_id: str
    incarnation: int


@message(15)
@dataclass(frozen=True)
class TextVersion:
    """The sender has this version of the text in force."""

    version: int
    digest: str


@message(16)
@dataclass(frozen=True)
class TextRequest:
    """Ask for the text, as changes against `have_version` where that is possible.

    `part` above 0 asks for a further part of the whole text.
    """

    have_version: int
    part: int = 0


@message(17)
@dataclass(frozen=True)
class TextChange:
    """Sections that differ between two versions; `base_version` 0 is the whole text.

    `sections` pairs section name and section source, followed by the name of the
    section before it if it is added; `removed` names sections that are gone; `digest`
    is that of the whole new text.
    """

    base_version: int
    version: int
    sections: list[list[str]]
    removed: list[str]
    digest: str
    part: int = 0
    parts: int = 1
    """A whole text may come in several parts, which are numbered from 0."""


@message(18)
@dataclass(frozen=True)
class Members:
    """Member records: [id, incarnation, state, role, zone, service, address]."""

    records: list[list]


@message(19)
@dataclass(frozen=True)
class MembersDigest:
    """Digest of the sender's member records, for anti-entropy."""

    digest: int
    count: int


@message(20)
@dataclass(frozen=True)
class ResolveClaim:
    """Ask a side what became of a claim token, and forbid it if it did not start.

    `target_incarnation` is the side's incarnation in the claim, 0 for any: a restarted
    side knows nothing of what ran before, so it must not call the token forbidden.
    """

    claim_token: str
    target_incarnation: int = 0


@message(21)
@dataclass(frozen=True)
class ClaimState:
    """Answer to ResolveClaim.

    `state` is `forbidden` (never ran and never will), `running`, `done` (with the
    answer) or `unknown`.
    """

    claim_token: str
    state: str
    status: int = 0
    headers: list[list[str]] | None = None
    body: bytes = b""


@message(22)
@dataclass(frozen=True)
class Order:
    """An order of the leader to the endpoint, with its fencing token.

    `action` is `load_model`, `load_adapter`, `change_role`, or `observe`, which only
    announces the token and asks for the present state.
    """

    order_id: str
    fence: int
    action: str
    model: str
    version: str
    role: str


@message(23)
@dataclass(frozen=True)
class OrderResult:
    """What became of an order; `fence` is the highest fencing token seen.

    The rest describes the endpoint as it is now, also after the action `observe`;
    the counts are requests since the version was loaded.
    """

    order_id: str
    done: bool
    fence: int
    model: str
    version: str
    role: str
    reason: str
    ready: bool = True
    ended: int = 0
    failed: int = 0
    attained: int = 0


@message(24)
@dataclass(frozen=True)
class GrantRequest:
    """An entry asks a customer's home entry for shares of its limits.

    Each row is [customer, class, requests wanted, tokens wanted, requests that run,
    more that may run].
    """

    rows: list[list]


@message(25)
@dataclass(frozen=True)
class Grant:
    """Shares for the next `valid_ms`.

    Rows are [customer, class, requests, tokens, requests that may run, 0].
    """

    rows: list[list]
    valid_ms: float


@message(26)
@dataclass(frozen=True)
class Ping:
    """Heartbeat."""

    sent_ms: float


@message(27)
@dataclass(frozen=True)
class Pong:
    """Answer to a heartbeat, with its time."""

    sent_ms: float


@message(28)
@dataclass(frozen=True)
class MembersBuckets:
    """Digests of the sender's member records by bucket, after a digest differed."""

    digests: list[int]
    reply: bool
    """Whether the receiver shall send its own digests back."""


@message(29)
@dataclass(frozen=True)
class CacheEvents:
    """Prompt prefixes that a side's engine has stored or evicted since the last one.

    Keys are those of `RouteRequest.prefix_keys`. The events are hints: the sender drops
    the oldest beyond its rate, so gaps in what `next_seq` counts are normal.
    """

    member_id: str
    next_seq: int
    stored: list[int]
    evicted: list[int]
