"""Pooled connections that all went silent, against the budget of retries."""

import contextlib
import socket
import time
from random import Random

import pytest
from urllib3.connection import HTTPConnection

from galenadrum._internal.demo.backend_server import BackendOptions, BackendServer
from galenadrum._internal.entry.execution import Complete, PipelineExecutor, SendCall
from galenadrum._internal.models.requests import Dispatch, Outcome, Request, StageCall
from galenadrum._internal.models.resources import StageSpec
from galenadrum._internal.models.servers import Announcement
from galenadrum._internal.network.connection_pool import ConnectionPool
from galenadrum._internal.network.stage_client import StageClient
from galenadrum._internal.network.stage_replies import AttemptLimits
from galenadrum._internal.routing.objectives import Objectives
from galenadrum._internal.routing.policy import Policy

FAR_S = 30.0
SILENCE_S = 0.4
CAPACITY = 4
REQUESTS = 8


@pytest.fixture
def server():
    options = BackendOptions(
        "backend-1", "zone", ("encode",), frozenset(), (), service_ms=0
    )
    server = BackendServer(options)
    server.start()
    yield server
    server.stop()


@pytest.fixture
def silent_pool():
    """Fill a pool with connections whose other end never answers."""
    with contextlib.ExitStack() as stack:

        def fill(address, count):
            pool = ConnectionPool()
            for _ in range(count):
                ours, theirs = socket.socketpair()
                stack.enter_context(ours)
                stack.enter_context(theirs)
                connection = HTTPConnection("127.0.0.1")
                connection.sock = ours
                pool.put(address, connection)
            return pool

        yield fill


def request_of(number=0):
    return Request(f"r{number}", "o", "p", ("encode",), FAR_S, 0.0)


def call(client, dispatch, once=False):
    until = time.monotonic() + FAR_S
    limits = AttemptLimits(until, SILENCE_S, once=once)
    return client.call(dispatch, {"input": "x"}, None, limits).result


def dispatch_to(address, forward_zone=None):
    stage_call = StageCall(request_of(), "encode", 0, 1)
    return Dispatch(stage_call, "backend-1", address, SILENCE_S, forward_zone)


class TestResending:
    def test_goes_over_a_new_connection(self, server, silent_pool):
        client = StageClient(silent_pool(server.address, 3))
        result = call(client, dispatch_to(server.address))
        assert result.outcome is Outcome.COMPLETED
        assert client.resent_calls == 1
        assert list(server.runs_by_request_id.values()) == [1]

    @pytest.mark.parametrize(("once", "zone"), [(True, None), (False, "other")])
    def test_never_happens_to_what_may_not_be_sent_twice(
        self, server, silent_pool, once, zone
    ):
        client = StageClient(silent_pool(server.address, 3))
        result = call(client, dispatch_to(server.address, zone), once)
        assert result.outcome is Outcome.UNKNOWN
        assert client.resent_calls == 0
        assert server.runs_by_request_id == {}

    def test_never_makes_what_was_sent_before_a_certain_not_run(self, silent_pool):
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{unused.getsockname()[1]}"
            client = StageClient(silent_pool(address, 1))
            assert call(client, dispatch_to(address)).outcome is Outcome.UNKNOWN
            assert client.resent_calls == 1

    def test_ends_while_new_connections_bring_no_answer_either(self, silent_pool):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = f"127.0.0.1:{listener.getsockname()[1]}"
            pool = silent_pool(address, 0)
            client = StageClient(pool)
            call(client, dispatch_to(address))
            ours, theirs = socket.socketpair()
            with ours, theirs:
                connection = HTTPConnection("127.0.0.1")
                connection.sock = ours
                pool.put(address, connection)
                result = call(client, dispatch_to(address))
        assert result.outcome is Outcome.UNKNOWN
        assert client.resent_calls == 0


class TestRetryBudget:
    def test_is_not_spent_on_connections_that_all_went_silent(
        self, server, silent_pool
    ):
        policy = Policy("zone", Random(1))
        policy.update_declarations({"encode": StageSpec()}, {}, Objectives(), 0.0)
        announcement = Announcement(
            "backend-1", 1, 1, server.address, "zone", ("encode",), CAPACITY, FAR_S
        )
        policy.update_servers([announcement], 0.0)
        executor = PipelineExecutor(policy)
        actions = []
        for number in range(REQUESTS):
            request = request_of(number)
            assert executor.admit(request, 0.0) is None
            actions += executor.begin(request, frozenset(), 0.0, claimed=False)
        ends = run_in_rounds(executor, actions, silent_pool(server.address, CAPACITY))
        assert [type(end) for end in ends] == [Complete] * REQUESTS


def run_in_rounds(executor, actions, pool):
    """Send what was dispatched together, each over a connection of its own."""
    ends = []
    idle = [pool.take(address_of(a)) for a in actions if isinstance(a, SendCall)]
    while sends := [action for action in actions if isinstance(action, SendCall)]:
        ends += [action for action in actions if not isinstance(action, SendCall)]
        results = []
        for send in sends:
            if idle:
                pool.put(address_of(send), idle.pop())
            client = StageClient(pool)
            results.append((send.dispatch, call(client, send.dispatch)))
        actions = []
        for dispatch, result in results:
            server_id = dispatch.server_id
            actions += executor.attempt_finished(dispatch.call, server_id, result, 0.1)
    return ends + actions


def address_of(action):
    return action.dispatch.address
