"""Messages between processes.

On the wire a message is one CBOR array `[PROTOCOL_VERSION, number, field, ...]`, with
the fields in the order of the class. Numbers are never reused. A newer release may
append fields with defaults; an older one ignores additional fields.
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
    """First message of both peers of a link."""

    member_id: str
    incarnation: int
    role: str
    zone: str
    service: str
    text_version: int
    token: str = ""
    """HMAC that proves possession of the fleet key; checked if a key is set."""
    address: str = ""
    """host:port on which the sender accepts links, empty if it does not."""


@message(2)
@dataclass(frozen=True)
class Submit:
    """An entry asks a sidecar to run one attempt of a request.

    `budget_ms` is the time left until the caller's deadline, 0 for none.
    `resume_text` is the part of the answer that the caller already has. `claim_token`
    is set for bookings. `target_incarnation` must be that of the receiving sidecar.
    `text_version` is the sender's version of the configuration.
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
    """The sidecar has queued the attempt at `position` (0 is next)."""

    request_id: str
    attempt: int
    position: int


@message(4)
@dataclass(frozen=True)
class Refused:
    """The sidecar will never run this attempt; its outcome is `not-run`."""

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
    """Status and headers of the endpoint's response, for plain services."""

    request_id: str
    attempt: int
    status: int
    headers: list[list[str]]


@message(7)
@dataclass(frozen=True)
class Chunk:
    """A chunk of the response; `seq` counts from 0 without gaps within an attempt.

    For models `data` is UTF-8 text of `tokens` tokens; for plain services it is
    bytes of the response body, and `tokens` is 0.
    """

    request_id: str
    attempt: int
    seq: int
    data: bytes
    tokens: int


@message(8)
@dataclass(frozen=True)
class Finished:
    """The response is complete; `chunks` is the number of chunks sent."""

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
    """The attempt ended without a complete response.

    If `started` is False, it certainly did not run at the endpoint.
    """

    request_id: str
    attempt: int
    started: bool
    code: str
    reason: str


@message(10)
@dataclass(frozen=True)
class Withdraw:
    """An entry takes back an attempt that has not started."""

    request_id: str
    attempt: int


@message(11)
@dataclass(frozen=True)
class WithdrawResult:
    """Response to Withdraw; a withdrawn attempt certainly never starts."""

    request_id: str
    attempt: int
    withdrawn: bool


@message(12)
@dataclass(frozen=True)
class Cancel:
    """An entry stops an attempt, started or not, as the caller has disconnected."""

    request_id: str
    attempt: int


@message(13)
@dataclass(frozen=True)
class LoadReport:
    """State of a sidecar's queue and engine, sent at most once a second.

    The rows of `waiting_by_class` and `running_by_class` are [class name, count].
    `running` counts the requests that this sidecar runs, `engine_running` those that
    the engine reports. `engine_age_ms` is the age of the engine's report.
    `ms_per_token` is the recent median.
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
    """The sender starts to shut down and must not get new requests."""

    member_id: str
    incarnation: int


@message(15)
@dataclass(frozen=True)
class TextVersion:
    """Version of the configuration that the sender has in force."""

    version: int
    digest: str


@message(16)
@dataclass(frozen=True)
class TextRequest:
    """Request for the configuration, if possible as changes since `have_version`.

    `part` above 0 requests a further chunk of the complete configuration.
    """

    have_version: int
    part: int = 0


@message(17)
@dataclass(frozen=True)
class TextChange:
    """Sections that differ between two versions of the configuration.

    `base_version` 0 means that all sections are included. Rows of `sections` are [name,
    source], followed by the name of the preceding section if the section is new.
    `removed` names deleted sections. `digest` is that of the complete new
    configuration.
    """

    base_version: int
    version: int
    sections: list[list[str]]
    removed: list[str]
    digest: str
    part: int = 0
    parts: int = 1
    """Number of chunks of a complete configuration; `part` counts from 0."""


@message(18)
@dataclass(frozen=True)
class Members:
    """Member records: [id, incarnation, state, role, zone, service, address]."""

    records: list[list]


@message(19)
@dataclass(frozen=True)
class MembersDigest:
    """Digest of the sender's member records, for anti-entropy; `count` is unused."""

    digest: int
    count: int


@message(20)
@dataclass(frozen=True)
class ResolveClaim:
    """Query the state of a claim token, and forbid the token if it has not started.

    `target_incarnation` is the sidecar's incarnation in the claim, 0 for any. A
    restarted sidecar has no record of what it ran before the restart, so it must not
    report the token as forbidden.
    """

    claim_token: str
    target_incarnation: int = 0


@message(21)
@dataclass(frozen=True)
class ClaimState:
    """Response to ResolveClaim.

    `state` is `forbidden` (never ran and never will), `running`, `done` (with the
    response) or `unknown`.
    """

    claim_token: str
    state: str
    status: int = 0
    headers: list[list[str]] | None = None
    body: bytes = b""


@message(22)
@dataclass(frozen=True)
class Order:
    """A control command of the rollout controller, with its fencing token.

    `action` is `load_model`, `load_adapter`, `change_role`, or `observe`, which only
    announces the token and requests the current state.
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
    """Result of a control command; `fence` is the highest fencing token seen.

    The other fields are the current state of the endpoint, for every action; `ended`,
    `failed` and `attained` count requests since the version was loaded.
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
    """An entry requests grants of quota from the owner entry of limits.

    Rows are [customer, class, requests wanted, tokens wanted, running requests,
    additional concurrent requests wanted].
    """

    rows: list[list]


@message(25)
@dataclass(frozen=True)
class Grant:
    """Grants of quota, valid for `valid_ms`.

    Rows are [customer, class, requests, tokens, concurrent requests, 0].
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
    """Response to a heartbeat, with the `sent_ms` of the Ping."""

    sent_ms: float


@message(28)
@dataclass(frozen=True)
class MembersBuckets:
    """Digests of the sender's member records by bucket, sent after a mismatch."""

    digests: list[int]
    reply: bool
    """Whether the receiver shall reply with its bucket digests."""


@message(29)
@dataclass(frozen=True)
class CacheEvents:
    """Prompt prefixes that the engine stored or evicted since the last message.

    Keys are those of `RouteRequest.prefix_keys`. The events are hints: above its rate
    limit the sender drops the oldest, so gaps in the sequence of `next_seq` are normal.
    """

    member_id: str
    next_seq: int
    stored: list[int]
    evicted: list[int]
