"""The configuration text in force in this process, and its spread between peers."""

from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import Any

from wigeonwind.catalog import Catalog
from wigeonwind.clock import Clock, SystemClock
from wigeonwind.links.messages import TextChange, TextRequest, TextVersion
from wigeonwind.outcomes import Invalid, Ok, Problem
from wigeonwind.state.configuration import (
    Configuration,
    build_configuration,
    parse_configuration,
)
from wigeonwind.state.configuration_diff import (
    apply_change,
    change_from_delta,
)
from wigeonwind.state.configuration_messages import (
    ChunkAssembler,
    change_from_message,
    change_message,
    chunk_message,
)
from wigeonwind.state.configuration_sections import (
    NO_SECTIONS,
    SectionDelta,
    build_sections,
    merge_deltas,
)

SendMessage = Callable[[Any], object]

MAX_CHANGE_HISTORY = 256
"""Versions for which changes can be sent; older peers get the whole text. At 100
edits a minute, this covers a peer that was cut off for two and a half minutes."""

REQUEST_TIMEOUT_MS = 1000.0
"""After this time another peer is asked for a version that was asked for before."""


@dataclass(frozen=True)
class _Step:
    """From one version to the next: what it touched, and the replaced sources."""

    delta: SectionDelta
    replaced_by_name: Mapping[str, str]


class ConfigurationReplica:
    """Keeps the newest valid text seen; a higher version wins and none reverts.

    `broadcast` sends a message over all links. Handlers get `reply`, which sends over
    the link on which the message came. No I/O happens here.
    """

    def __init__(self, broadcast: SendMessage, clock: Clock | None = None) -> None:
        self._broadcast = broadcast
        self._clock = clock or SystemClock()
        self._text: Configuration | None = None
        self._subscribers: list[Callable[[Catalog], None]] = []
        self._step_by_base: OrderedDict[int, _Step] = OrderedDict()
        self._partial = ChunkAssembler()
        self._asked_version = 0
        self._asked_at_ms = 0.0
        self.refused_version = 0
        """Highest version that was refused as invalid, 0 if none was."""
        self.refused_problems: tuple[Problem, ...] = ()
        self.count_by_event: dict[str, int] = {}
        """Counters: adopted, invalid, digest_mismatch, whole_requested, ..."""

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first."""
        return self._text.version if self._text else 0

    @property
    def digest(self) -> str:
        """Return the digest of the text in force."""
        return self._text.digest if self._text else ""

    @property
    def source(self) -> str:
        """Return the text in force."""
        return self._text.source if self._text else ""

    @property
    def configuration(self) -> Configuration | None:
        """Return the text in force with its sections, None before the first."""
        return self._text

    @property
    def catalog(self) -> Catalog:
        """Return what the text in force says; version 0 says nothing."""
        return self._text.catalog if self._text else Catalog(0)

    def customer_for_key(self, key_digest: str) -> str | None:
        """Return the customer to whom the digest of an API key belongs, or None."""
        return self._text.customer_by_key.get(key_digest) if self._text else None

    def subscribe(self, callback: Callable[[Catalog], None]) -> None:
        """Call `callback` with the catalog in force, now if there is one."""
        self._subscribers.append(callback)
        if self._text:
            callback(self._text.catalog)

    def check(self, source: str, version: int = 0) -> Ok[Configuration] | Invalid:
        """Check a text; sections equal to those in force are not parsed again."""
        return parse_configuration(source, version, self._text)

    def offer(self, version: int, source: str) -> bool:
        """Put a whole text in force if it is newer and valid; return whether it was."""
        if version <= self.version:
            return False
        return self._adopt(version, parse_configuration(source, version, self._text))

    def offer_checked(
        self, version: int, text: Configuration, base: Configuration | None
    ) -> bool:
        """Put in force what `check` returned while `base` was in force."""
        if base is not self._text or version <= self.version:
            return self.offer(version, text.source)
        catalog = replace(text.catalog, version=version)
        return self._adopt(version, Ok(replace(text, version=version, catalog=catalog)))

    def announce(self, reply: SendMessage) -> None:
        """Tell a peer, whose link has come up, the version in force."""
        reply(TextVersion(self.version, self.digest))

    def announce_to_all(self) -> None:
        """Announce the version to all peers again; repairs lost announcements."""
        self._broadcast(TextVersion(self.version, self.digest))

    def on_text_version(self, message: TextVersion, reply: SendMessage) -> None:
        """Ask for a newer text, or tell an older peer of ours."""
        if message.version < self.version:
            reply(TextVersion(self.version, self.digest))
        elif message.version == self.version:
            if message.digest != self.digest:
                self._count("digest_conflict")
        elif message.version != self.refused_version and self._may_ask(message.version):
            reply(TextRequest(self.version))

    def on_text_request(self, message: TextRequest, reply: SendMessage) -> None:
        """Send the changes since the peer's version, or the whole text."""
        if self._text is None or message.have_version >= self._text.version:
            return
        change = None if message.part else self._change_since(message.have_version)
        if change is not None:
            reply(change)
            self._count("change_sent")
            return
        whole = chunk_message(self._text, message.part)
        if whole is not None:
            reply(whole)
            self._count("whole_part_sent")

    def on_text_change(self, message: TextChange, reply: SendMessage) -> None:
        """Apply changes to the text in force; ask for the whole if they do not fit."""
        if message.version <= self.version:
            return
        if message.parts > 1:
            self._add_part(message, reply)
            return
        if message.base_version not in (0, self.version):
            self._ask_again(message.version, reply, self.version)
            return
        result = _apply(self._text, message)
        if result is None:
            self._count("digest_mismatch")
            if message.base_version != 0:
                self._ask_again(message.version, reply, 0)
            return
        self._adopt(message.version, result)

    def _add_part(self, message: TextChange, reply: SendMessage) -> None:
        """Collect the parts of a whole text and put it in force after the last."""
        result = self._partial.add(message)
        self._asked_at_ms = self._clock.now_ms()
        if isinstance(result, TextRequest):
            reply(result)
        elif result is not None:
            self.on_text_change(result, reply)
            # Announcements of newer versions were passed over until now.
            reply(TextRequest(self.version))

    def _may_ask(self, version: int) -> bool:
        """Whether to ask for `version` now; the same version is asked for once."""
        now_ms = self._clock.now_ms()
        waiting = now_ms - self._asked_at_ms < REQUEST_TIMEOUT_MS
        if waiting and (version <= self._asked_version or self._partial.is_open):
            return False
        self._asked_version = version
        self._asked_at_ms = now_ms
        return True

    def _ask_again(self, version: int, reply: SendMessage, have_version: int) -> None:
        self._asked_version = version
        self._asked_at_ms = self._clock.now_ms()
        reply(TextRequest(have_version))
        if have_version == 0:
            self._count("whole_requested")

    def _adopt(self, version: int, result: Ok[Configuration] | Invalid) -> bool:
        if isinstance(result, Invalid):
            self._count("invalid")
            self.refused_version = max(self.refused_version, version)
            self.refused_problems = result.problems
            return False
        old, self._text = self._text, result.value
        self._remember_change(old, result.value)
        self._count("adopted")
        for callback in self._subscribers:
            callback(result.value.catalog)
        self._broadcast(TextVersion(self.version, self.digest))
        return True

    def _remember_change(self, old: Configuration | None, new: Configuration) -> None:
        if old is None:
            return
        sources = old.sections.source_by_name
        names = [*new.delta.changed, *new.delta.removed]
        undo = {name: sources[name] for name in names if name in sources}
        self._step_by_base[old.version] = _Step(new.delta, undo)
        while len(self._step_by_base) > MAX_CHANGE_HISTORY:
            self._step_by_base.popitem(last=False)

    def configuration_at(self, version: int) -> Configuration | None:
        """Return an earlier text if it is still known; its sections may be reordered.

        Only replaced sections are kept of earlier texts, not the texts.
        """
        if self._text is None or version == self._text.version:
            return self._text
        if version not in self._step_by_base:
            return None
        sources = dict(self._text.sections.source_by_name)
        for base, step in reversed(self._step_by_base.items()):
            if base < version:
                break
            for name in step.delta.added:
                sources.pop(name, None)
            sources.update(step.replaced_by_name)
        sections, delta = build_sections(sources, self._text.sections)
        result = build_configuration(sections, version, self._text, delta)
        return result.value if isinstance(result, Ok) else None

    def _change_since(self, version: int) -> TextChange | None:
        """Return the change from `version`, None if only the whole text will do."""
        delta = self._delta_since(version)
        if self._text is None or delta is None or delta.is_reordered:
            return None
        change = change_from_delta(self._text.sections, delta)
        return change_message(change, version, self._text.version)

    def _delta_since(self, version: int) -> SectionDelta | None:
        """Return what changed since `version`, None if that is not known."""
        if version not in self._step_by_base or self._text is None:
            return None
        steps = self._step_by_base.items()
        later = [step.delta for base, step in steps if base >= version]
        return merge_deltas(later, self._text.sections)

    def _count(self, event: str) -> None:
        self.count_by_event[event] = self.count_by_event.get(event, 0) + 1


def _apply(
    base: Configuration | None, message: TextChange
) -> Ok[Configuration] | Invalid | None:
    """Return the checked result of a change, None if its digest does not match."""
    old = base.sections if base else NO_SECTIONS
    if message.base_version == 0:
        sources = {row[0]: row[1] for row in message.sections}
        sections, delta = build_sections(sources, old)
        if sections.digest != message.digest:
            return None
        return build_configuration(sections, message.version, base, delta)
    applied = apply_change(old, change_from_message(message))
    if applied is None:
        return None
    sections, delta = applied
    return build_configuration(sections, message.version, base, delta)
