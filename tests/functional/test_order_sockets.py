import os
import signal
import socket
import subprocess
import sys
import threading
from contextlib import contextmanager

import pytest

from galenadrum._internal.control.orders.events import Order, OrderAction
from galenadrum._internal.network.engine_client import (
    EngineUnreachableError,
    query_engine,
    send_order,
)
from lib.processes import ROOT, wait_until

ORDER = Order("1-a", 1, "e", OrderAction.LOAD, "m", "1")

# Script that sends an order, and stops between the last lease check and the write.
FROZEN_SENDER = """
import signal, sys, threading
from galenadrum._internal.control.orders.events import Order, OrderAction
from galenadrum._internal.network import engine_client, write_guard

engine_client.guarded_write = lambda: write_guard.guarded_write(float(sys.argv[2]))
looks = []

def remaining_s():
    looks.append(1)
    if len(looks) == 2:
        # Sent to the process, it could stop this thread only after the write.
        signal.pthread_kill(threading.get_ident(), signal.SIGSTOP)
    return 1.0

order = Order("1-a", 1, "e", OrderAction.LOAD, "m", "1")
sender = threading.Thread(
    target=engine_client.send_order, args=(sys.argv[1], order, remaining_s)
)
sender.start()
sender.join()
"""


@contextmanager
def listening(serve):
    """Run ``serve`` on the first connection; yield the address."""
    with socket.create_server(("127.0.0.1", 0)) as server:

        def run():
            connection, _ = server.accept()
            with connection:
                serve(connection)

        thread = threading.Thread(target=run)
        thread.start()
        yield f"127.0.0.1:{server.getsockname()[1]}"
        thread.join()


class TestFrozenSender:
    @pytest.mark.parametrize(("limit_s", "arrives"), [(0.05, False), (60.0, True)])
    def test_sender_stopped_past_limit_never_writes(self, limit_s, arrives):
        received = []

        def serve(connection):
            received.append(connection.recv(65_536))
            if received[0]:
                connection.sendall(b"HTTP/1.1 202 OK\r\nContent-Length: 0\r\n\r\n")

        with listening(serve) as address:
            arguments = [sys.executable, "-c", FROZEN_SENDER, address, str(limit_s)]
            environment = os.environ | {"PYTHONPATH": str(ROOT / "src")}
            process = subprocess.Popen(arguments, env=environment)
            try:
                _, status = os.waitpid(process.pid, os.WUNTRACED)
                assert os.WIFSTOPPED(status)
                # The timer has expired once its signal is listed as pending.
                if not arrives:
                    wait_until(lambda: has_pending_alarm(process.pid), "the signal", 10)
                process.send_signal(signal.SIGCONT)
                code = process.wait()
            finally:
                process.kill()
        assert code == (0 if arrives else -signal.SIGALRM)
        assert bool(received[0]) is arrives


def has_pending_alarm(pid):
    with open(f"/proc/{pid}/status") as file:
        rows = dict(line.split(":", 1) for line in file)
    return bool(int(rows["ShdPnd"], 16) >> (signal.SIGALRM - 1) & 1)


class TestTrickledAnswer:
    """An engine sends a complete answer, one byte at a time, past the timeout."""

    @pytest.mark.parametrize("is_query", [False, True])
    def test_call_times_out(self, is_query):
        body = b'{"models": []}' + b" " * 400
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        ended = threading.Event()

        def serve(connection):
            connection.recv(65_536)
            for value in head.encode() + body:
                try:
                    connection.sendall(bytes([value]))
                except OSError:
                    return
                ended.wait(0.01)

        with listening(serve) as address:
            with pytest.raises(EngineUnreachableError):
                if is_query:
                    query_engine(address, 1, 0.5)
                else:
                    send_order(address, ORDER, lambda: 0.5)
            ended.set()
