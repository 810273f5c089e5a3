"""A TCP relay that silently drops the traffic of established connections."""

import asyncio
import threading

_CHUNK_BYTES = 65_536
_START_TIMEOUT_S = 5.0


class SilentRelay:
    """Forwards loopback connections to a target, on its own thread.

    After ``silence`` all bytes, ends and resets of the established connections are
    dropped in both directions, while new connections work.

    Args:
        target: IP number and port to which connections are forwarded.
    """

    def __init__(self, target):
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._generation = 0
        self._is_cut = False
        self._connections = 0
        self._closed_silent_ends = 0
        self._tasks = set()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._ready = threading.Event()
        self.address = ""

    def __enter__(self):
        self._thread.start()
        assert self._ready.wait(_START_TIMEOUT_S)
        return self

    def __exit__(self, *exc_info):
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(_START_TIMEOUT_S)

    @property
    def connections(self):
        """The number of connections accepted so far."""
        return self._connections

    @property
    def closed_silent_ends(self):
        """The number of closed or reset ends of silent connections."""
        return self._closed_silent_ends

    def silence(self):
        """Drop all traffic of the connections that are established now."""
        self._generation += 1

    def cut(self):
        """Drop all traffic, also of connections that are opened later."""
        self._is_cut = True
        self.silence()

    def heal(self):
        """Forward new connections again; existing connections stay silent."""
        self._is_cut = False
        self.silence()

    def _run(self):
        asyncio.set_event_loop(self._loop)
        server = self._loop.run_until_complete(
            asyncio.start_server(self._relay, "127.0.0.1", 0)
        )
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        self._ready.set()
        self._loop.run_forever()
        server.close()
        for task in self._tasks:
            task.cancel()
        self._loop.run_until_complete(
            asyncio.gather(*self._tasks, return_exceptions=True)
        )
        self._loop.close()

    async def _relay(self, reader, writer):
        self._connections += 1
        task = asyncio.current_task()
        self._tasks.add(task)
        generation = self._generation
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.close()
            return
        try:
            await asyncio.gather(
                self._copy(reader, target_writer, generation),
                self._copy(target_reader, writer, generation),
            )
        except asyncio.CancelledError:
            # asyncio's streams log a cancelled handler as an error.
            pass
        finally:
            writer.close()
            target_writer.close()
            self._tasks.discard(task)

    async def _copy(self, reader, writer, generation):
        try:
            while chunk := await reader.read(_CHUNK_BYTES):
                if generation == self._generation and not self._is_cut:
                    writer.write(chunk)
                    await writer.drain()
        except ConnectionError:
            pass
        if generation != self._generation or self._is_cut:
            # Keep the other side open, so that it sees neither an end nor a reset.
            self._closed_silent_ends += 1
            await asyncio.Event().wait()
        writer.close()
