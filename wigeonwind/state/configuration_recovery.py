"""Brings a configuration that the store has lost back into it.

After a return to an older copy, the store's head has a version that the processes have
for another configuration. Processes follow the highest version, so the configuration
that is to be in force is written until its version is above all that were given out.
"""

from wigeonwind.ids import new_id
from wigeonwind.state.configuration_sections import Sections
from wigeonwind.state.configuration_store import Accepted, submit_steps
from wigeonwind.state.store_steps import Steps

MAX_WRITES = 64
"""Writes of one recovery; the next read of the store continues it."""


def raise_version_steps(
    stored_version: int, known_version: int, sections: Sections
) -> Steps[int]:
    """Write `sections` over `stored_version` until above `known_version`.

    The result is the last version written, `stored_version` if there is none. Each
    write is conditional: it ends when another process writes.
    """
    version = stored_version
    for _ in range(MAX_WRITES):
        if version > known_version:
            break
        result = yield from submit_steps(version, f"recovery-{new_id()}", sections)
        if not isinstance(result, Accepted):
            break
        version = result.version
    return version
