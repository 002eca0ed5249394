"""The configuration in force in this process, and its gossip with peers."""

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
"""Versions for which changes are kept; older peers get the whole configuration. At 100
edits a minute, this covers a peer that was disconnected for two and a half minutes."""

REQUEST_TIMEOUT_MS = 1000.0
"""Time after which a requested version is requested again, at its next announcement.

That announcement usually comes from another peer than the one that did not answer.
"""


@dataclass(frozen=True)
class _AppliedChange:
    """The change from a version to its successor, and the sources that it replaced."""

    delta: SectionDelta
    replaced_by_name: Mapping[str, str]


class ConfigurationReplica:
    """Holds the newest valid configuration received; versions never decrease.

    `broadcast` sends a message over all links. Handlers get `reply`, which sends over
    the link on which the message was received. This class does no I/O itself.
    """

    def __init__(self, broadcast: SendMessage, clock: Clock | None = None) -> None:
        self._broadcast = broadcast
        self._clock = clock or SystemClock()
        self._configuration: Configuration | None = None
        self._subscribers: list[Callable[[Catalog], None]] = []
        self._change_by_base_version: OrderedDict[int, _AppliedChange] = OrderedDict()
        self._assembler = ChunkAssembler()
        self._digest_by_version: OrderedDict[int, str] = OrderedDict()
        self._requested_version = 0
        self._requested_at_ms = 0.0
        self.refused_version = 0
        """Highest version that was refused as invalid, 0 if there is none."""
        self.refused_problems: tuple[Problem, ...] = ()
        """Problems of the version that was refused last."""
        self.count_by_event: dict[str, int] = {}
        """Event counters.

        Keys: adopted, invalid, digest_mismatch, digest_conflict, whole_requested,
        change_sent, whole_part_sent.
        """

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first."""
        return self._configuration.version if self._configuration else 0

    @property
    def digest(self) -> str:
        """Return the digest of the configuration in force, empty before the first."""
        return self._configuration.digest if self._configuration else ""

    @property
    def source(self) -> str:
        """Return the source of the configuration in force, empty before the first."""
        return self._configuration.source if self._configuration else ""

    @property
    def configuration(self) -> Configuration | None:
        """Return the configuration in force, None before the first."""
        return self._configuration

    @property
    def catalog(self) -> Catalog:
        """Return the catalog in force, an empty one of version 0 before the first."""
        return self._configuration.catalog if self._configuration else Catalog(0)

    def digest_of(self, version: int) -> str | None:
        """Return the digest that a version had when it was put in force here.

        None for a version that was not, or longer than MAX_CHANGE_HISTORY versions ago.
        """
        return self._digest_by_version.get(version)

    def customer_for_key(self, key_digest: str) -> str | None:
        """Return the customer of the API key with this digest, or None."""
        return (
            self._configuration.customer_by_key.get(key_digest)
            if self._configuration
            else None
        )

    def subscribe(self, callback: Callable[[Catalog], None]) -> None:
        """Call `callback` with the catalog in force, if any, and each later one."""
        self._subscribers.append(callback)
        if self._configuration:
            callback(self._configuration.catalog)

    def check(self, source: str, version: int = 0) -> Ok[Configuration] | Invalid:
        """Check a source; sections equal to those in force are not parsed again."""
        return parse_configuration(source, version, self._configuration)

    def offer(self, version: int, source: str) -> bool:
        """Put a source in force if it is newer and valid; return whether it was."""
        if version <= self.version:
            return False
        return self._adopt(
            version, parse_configuration(source, version, self._configuration)
        )

    def offer_checked(
        self, version: int, configuration: Configuration, base: Configuration | None
    ) -> bool:
        """Put in force what `check` returned while `base` was in force.

        If `base` is no longer in force, the source is checked again. The result is that
        of `offer`.
        """
        if base is not self._configuration or version <= self.version:
            return self.offer(version, configuration.source)
        catalog = replace(configuration.catalog, version=version)
        return self._adopt(
            version, Ok(replace(configuration, version=version, catalog=catalog))
        )

    def announce(self, reply: SendMessage) -> None:
        """Send the version in force to a peer whose link has been established."""
        reply(TextVersion(self.version, self.digest))

    def announce_to_all(self) -> None:
        """Send the version in force to all peers, in case an announcement was lost."""
        self._broadcast(TextVersion(self.version, self.digest))

    def on_text_version(self, message: TextVersion, reply: SendMessage) -> None:
        """Request a newer version, or announce the local one to an older peer."""
        if message.version < self.version:
            reply(TextVersion(self.version, self.digest))
        elif message.version == self.version:
            if message.digest != self.digest:
                self._count("digest_conflict")
        elif message.version != self.refused_version and self._may_request(
            message.version
        ):
            reply(TextRequest(self.version))

    def on_text_request(self, message: TextRequest, reply: SendMessage) -> None:
        """Send the changes since the peer's version, or one chunk of all sections."""
        if (
            self._configuration is None
            or message.have_version >= self._configuration.version
        ):
            return
        change = None if message.part else self._change_since(message.have_version)
        if change is not None:
            reply(change)
            self._count("change_sent")
            return
        chunk = chunk_message(self._configuration, message.part)
        if chunk is not None:
            reply(chunk)
            self._count("whole_part_sent")

    def on_text_change(self, message: TextChange, reply: SendMessage) -> None:
        """Apply a change; request the whole configuration if it does not apply."""
        if message.version <= self.version:
            return
        if message.parts > 1:
            self._add_chunk(message, reply)
            return
        if message.base_version not in (0, self.version):
            self._request(message.version, reply, self.version)
            return
        result = _apply_message(self._configuration, message)
        if result is None:
            self._count("digest_mismatch")
            if message.base_version != 0:
                self._request(message.version, reply, 0)
            return
        self._adopt(message.version, result)

    def _add_chunk(self, message: TextChange, reply: SendMessage) -> None:
        """Add a chunk to the assembler; put the result in force after the last one."""
        result = self._assembler.add(message)
        self._requested_at_ms = self._clock.now_ms()
        if isinstance(result, TextRequest):
            reply(result)
        elif result is not None:
            self.on_text_change(result, reply)
            # Announcements of newer versions were ignored until now.
            reply(TextRequest(self.version))

    def _may_request(self, version: int) -> bool:
        """Return whether to request `version` now; marks it as requested if so."""
        now_ms = self._clock.now_ms()
        is_pending = now_ms - self._requested_at_ms < REQUEST_TIMEOUT_MS
        if is_pending and (
            version <= self._requested_version or self._assembler.is_open
        ):
            return False
        self._requested_version = version
        self._requested_at_ms = now_ms
        return True

    def _request(self, version: int, reply: SendMessage, have_version: int) -> None:
        self._requested_version = version
        self._requested_at_ms = self._clock.now_ms()
        reply(TextRequest(have_version))
        if have_version == 0:
            self._count("whole_requested")

    def _adopt(self, version: int, result: Ok[Configuration] | Invalid) -> bool:
        if isinstance(result, Invalid):
            self._count("invalid")
            self.refused_version = max(self.refused_version, version)
            self.refused_problems = result.problems
            return False
        old, self._configuration = self._configuration, result.value
        self._record_change(old, result.value)
        self._digest_by_version[version] = result.value.digest
        while len(self._digest_by_version) > MAX_CHANGE_HISTORY:
            self._digest_by_version.popitem(last=False)
        self._count("adopted")
        for callback in self._subscribers:
            callback(result.value.catalog)
        self._broadcast(TextVersion(self.version, self.digest))
        return True

    def _record_change(self, old: Configuration | None, new: Configuration) -> None:
        if old is None:
            return
        sources = old.sections.source_by_name
        names = [*new.delta.changed, *new.delta.removed]
        replaced_sources = {name: sources[name] for name in names if name in sources}
        self._change_by_base_version[old.version] = _AppliedChange(
            new.delta, replaced_sources
        )
        while len(self._change_by_base_version) > MAX_CHANGE_HISTORY:
            self._change_by_base_version.popitem(last=False)

    def configuration_at(self, version: int) -> Configuration | None:
        """Return an earlier configuration, None if its history is no longer kept.

        It is rebuilt from the replaced sections; their order may differ from the
        original.
        """
        if self._configuration is None or version == self._configuration.version:
            return self._configuration
        if version not in self._change_by_base_version:
            return None
        sources = dict(self._configuration.sections.source_by_name)
        for base, applied_change in reversed(self._change_by_base_version.items()):
            if base < version:
                break
            for name in applied_change.delta.added:
                sources.pop(name, None)
            sources.update(applied_change.replaced_by_name)
        sections, delta = build_sections(sources, self._configuration.sections)
        result = build_configuration(sections, version, self._configuration, delta)
        return result.value if isinstance(result, Ok) else None

    def _change_since(self, version: int) -> TextChange | None:
        """Return the change from `version`, None if all sections must be sent."""
        delta = self._delta_since(version)
        if self._configuration is None or delta is None or delta.is_reordered:
            return None
        change = change_from_delta(self._configuration.sections, delta)
        return change_message(change, version, self._configuration.version)

    def _delta_since(self, version: int) -> SectionDelta | None:
        """Return the difference from `version`, None if its history is not kept."""
        if version not in self._change_by_base_version or self._configuration is None:
            return None
        applied_changes = self._change_by_base_version.items()
        later_deltas = [
            applied_change.delta
            for base, applied_change in applied_changes
            if base >= version
        ]
        return merge_deltas(later_deltas, self._configuration.sections)

    def _count(self, event: str) -> None:
        self.count_by_event[event] = self.count_by_event.get(event, 0) + 1


def _apply_message(
    base: Configuration | None, message: TextChange
) -> Ok[Configuration] | Invalid | None:
    """Return the checked result of a message, None if its digest does not match."""
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
