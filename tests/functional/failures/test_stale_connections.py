"""Tests of resending calls whose pooled connections have all gone silent."""

import contextlib
import socket
import time
from random import Random

import pytest
from urllib3.connection import HTTPConnection

from galenadrum._internal.demo.backend_server import BackendOptions, BackendServer
from galenadrum._internal.entry.pipeline_executor import (
    Complete,
    PipelineExecutor,
    SendCall,
)
from galenadrum._internal.models.requests import Dispatch, Outcome, Request, StageCall
from galenadrum._internal.models.resources import StageSpec
from galenadrum._internal.models.servers import Announcement
from galenadrum._internal.network.connection_pool import BlockingConnectionPool
from galenadrum._internal.network.stage_client import StageClient
from galenadrum._internal.network.stage_replies import AttemptLimits
from galenadrum._internal.routing.objectives import Objectives
from galenadrum._internal.routing.policy import Policy

LONG_TIMEOUT_S = 30.0
SILENCE_TIMEOUT_S = 0.4
SERVER_CAPACITY = 4
REQUEST_COUNT = 8


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
def build_silent_pool():
    """Return a function that builds a pool of connections whose peer never answers."""
    with contextlib.ExitStack() as stack:

        def build_pool(address, count):
            pool = BlockingConnectionPool()
            for _ in range(count):
                local_socket, remote_socket = socket.socketpair()
                stack.enter_context(local_socket)
                stack.enter_context(remote_socket)
                connection = HTTPConnection("127.0.0.1")
                connection.sock = local_socket
                pool.put(address, connection)
            return pool

        yield build_pool


def build_request(number=0):
    return Request(f"r{number}", "o", "p", ("encode",), LONG_TIMEOUT_S, 0.0)


def send_call(client, dispatch, once=False):
    deadline = time.monotonic() + LONG_TIMEOUT_S
    limits = AttemptLimits(deadline, SILENCE_TIMEOUT_S, at_most_once=once)
    return client.call(dispatch, {"input": "x"}, None, limits).result


def build_dispatch(address, forward_zone=None):
    stage_call = StageCall(build_request(), "encode", 0, 1)
    return Dispatch(stage_call, "backend-1", address, SILENCE_TIMEOUT_S, forward_zone)


class TestResending:
    def test_uses_a_new_connection(self, server, build_silent_pool):
        client = StageClient(build_silent_pool(server.address, 3))
        result = send_call(client, build_dispatch(server.address))
        assert result.outcome is Outcome.COMPLETED
        assert client.resent_calls == 1
        assert list(server.run_count_by_request_id.values()) == [1]

    @pytest.mark.parametrize(("once", "zone"), [(True, None), (False, "other")])
    def test_does_not_happen_to_calls_that_must_not_be_sent_twice(
        self, server, build_silent_pool, once, zone
    ):
        client = StageClient(build_silent_pool(server.address, 3))
        result = send_call(client, build_dispatch(server.address, zone), once)
        assert result.outcome is Outcome.UNKNOWN
        assert client.resent_calls == 0
        assert server.run_count_by_request_id == {}

    def test_refused_connection_leaves_the_outcome_unknown(self, build_silent_pool):
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{unused.getsockname()[1]}"
            client = StageClient(build_silent_pool(address, 1))
            assert send_call(client, build_dispatch(address)).outcome is Outcome.UNKNOWN
            assert client.resent_calls == 1

    def test_stops_while_new_connections_get_no_response_either(
        self, build_silent_pool
    ):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = f"127.0.0.1:{listener.getsockname()[1]}"
            pool = build_silent_pool(address, 0)
            client = StageClient(pool)
            send_call(client, build_dispatch(address))
            local_socket, remote_socket = socket.socketpair()
            with local_socket, remote_socket:
                connection = HTTPConnection("127.0.0.1")
                connection.sock = local_socket
                pool.put(address, connection)
                result = send_call(client, build_dispatch(address))
        assert result.outcome is Outcome.UNKNOWN
        assert client.resent_calls == 0


class TestRetryBudget:
    def test_is_not_spent_on_silent_connections(self, server, build_silent_pool):
        policy = Policy("zone", Random(1))
        policy.update_declarations({"encode": StageSpec()}, {}, Objectives(), 0.0)
        announcement = Announcement(
            "backend-1",
            1,
            1,
            server.address,
            "zone",
            ("encode",),
            SERVER_CAPACITY,
            LONG_TIMEOUT_S,
        )
        policy.update_servers([announcement], 0.0)
        executor = PipelineExecutor(policy)
        actions = []
        for number in range(REQUEST_COUNT):
            request = build_request(number)
            assert executor.admit(request, 0.0) is None
            actions += executor.begin(request, frozenset(), 0.0, claimed=False)
        final_actions = run_actions_in_rounds(
            executor, actions, build_silent_pool(server.address, SERVER_CAPACITY)
        )
        assert [type(action) for action in final_actions] == [Complete] * REQUEST_COUNT


def run_actions_in_rounds(executor, actions, pool):
    """Run actions until no call is left to send; return all other actions.

    The calls of a round are sent over different pooled connections while any are idle.
    """
    final_actions = []
    idle_connections = [
        pool.acquire(get_address(a)) for a in actions if isinstance(a, SendCall)
    ]
    while sends := [action for action in actions if isinstance(action, SendCall)]:
        final_actions += [
            action for action in actions if not isinstance(action, SendCall)
        ]
        results = []
        for send in sends:
            if idle_connections:
                pool.put(get_address(send), idle_connections.pop())
            client = StageClient(pool)
            results.append((send.dispatch, send_call(client, send.dispatch)))
        actions = []
        for dispatch, result in results:
            server_id = dispatch.server_id
            actions += executor.record_attempt_result(
                dispatch.call, server_id, result, 0.1
            )
    return final_actions + actions


def get_address(action):
    return action.dispatch.address
