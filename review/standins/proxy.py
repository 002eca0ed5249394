"""A loopback proxy whose open connections can go silent for good."""

import asyncio

READ_BYTES = 65_536


class SilentProxy:
    """Forwards connections to one address; new ones work after a silence."""

    def __init__(self, target: str) -> None:
        self._target = target
        self._open: set[asyncio.Event] = set()
        """For each open connection an event that is set once it is silent."""
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def silence(self) -> int:
        """Forward nothing more on the open connections; return their number."""
        for is_silent in self._open:
            is_silent.set()
        count = len(self._open)
        self._open.clear()
        return count

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        is_silent = asyncio.Event()
        self._open.add(is_silent)
        host, _, port = self._target.rpartition(":")
        onward_reader, onward_writer = await asyncio.open_connection(host, int(port))
        try:
            await asyncio.gather(
                self._copy(reader, onward_writer, is_silent),
                self._copy(onward_reader, writer, is_silent),
            )
        except OSError:
            pass
        finally:
            self._open.discard(is_silent)
            onward_writer.close()
            writer.close()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_silent: asyncio.Event,
    ) -> None:
        while data := await reader.read(READ_BYTES):
            if is_silent.is_set():
                # Neither data nor the end of the connection gets through any more.
                continue
            writer.write(data)
            await writer.drain()
        if not is_silent.is_set():
            writer.close()
