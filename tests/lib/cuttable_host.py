"""Runs a control or entry host that can be cut off from all backend servers.

    python cuttable_host.py CUT_FILE ROLE

While the file holds ``hang``, new connections to servers hang, open ones fall silent;
with ``refuse`` new ones are refused and open ones are reset; with ``live`` new ones are
refused and open ones live on. All other connections work.
"""

import asyncio
import runpy
import sys
from asyncio import base_events
from pathlib import Path

SERVER_PORT = 8080
POLL_INTERVAL_S = 0.01
MAIN = Path(__file__).parents[2] / "platform" / "main.py"


class Cut:
    """State of the cut of this process, read from a file."""

    def __init__(self, path):
        self._path = path
        self._mode = ""
        self._transports = []
        self._silenced = []
        self._task = None

    async def watch(self):
        while True:
            mode = self._path.read_text() if self._path.exists() else ""
            if mode != self._mode:
                self._mode = mode
                self._apply()
            await asyncio.sleep(POLL_INTERVAL_S)

    def _apply(self):
        self._transports = [t for t in self._transports if not t.is_closing()]
        if self._mode == "refuse":
            for transport in self._transports:
                transport.abort()
        elif self._mode == "hang":
            for transport in self._transports:
                self._silence(transport)
        else:
            for transport, write, unsent in self._silenced:
                transport.write = write
                if not transport.is_closing():
                    transport.resume_reading()
                    write(b"".join(unsent))
            self._silenced.clear()

    def _silence(self, transport):
        unsent = []
        transport.pause_reading()
        self._silenced.append((transport, transport.write, unsent))
        transport.write = unsent.append

    async def connect(self, create, loop, factory, host, port, **options):
        if self._task is None:
            self._task = loop.create_task(self.watch())
        if port != SERVER_PORT:
            return await create(loop, factory, host, port, **options)
        if self._mode == "hang":
            await asyncio.sleep(3600)
        if self._mode:
            raise ConnectionRefusedError(111, "cut off by the test")
        transport, protocol = await create(loop, factory, host, port, **options)
        self._transports.append(transport)
        return transport, protocol


def main():
    cut = Cut(Path(sys.argv[1]))
    create = base_events.BaseEventLoop.create_connection

    async def create_connection(loop, factory, host=None, port=None, **options):
        return await cut.connect(create, loop, factory, host, port, **options)

    base_events.BaseEventLoop.create_connection = create_connection
    sys.argv = [str(MAIN), sys.argv[2]]
    sys.path[0] = str(MAIN.parent)
    runpy.run_path(str(MAIN), run_name="__main__")


if __name__ == "__main__":
    main()
