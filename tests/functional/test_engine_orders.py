import signal
import socket
import threading
from contextlib import contextmanager

import pytest

from galenadrum._internal.control.orders.events import Order, OrderAction
from galenadrum._internal.demo.engine import (
    CALL_RECORD_PATH,
    EngineOptions,
    EngineServer,
)
from galenadrum._internal.network.engine_client import (
    EngineUnreachableError,
    OrderNotSentError,
    query_engine,
    send_order,
)
from lib.deployment import OPERATOR_TOKEN, Deployment, put
from lib.processes import get_json, wait_until


def build_order(order_id, fencing, version="1"):
    return Order(order_id, fencing, "e", OrderAction.LOAD, "m", version)


@contextmanager
def running_engine(**options):
    engine = EngineServer(EngineOptions("e", "z", ("generate",), (), **options))
    engine.start()
    try:
        yield engine
    finally:
        engine.stop()


class TestOrderOnSockets:
    def test_an_order_sent_twice_runs_once(self):
        with running_engine(load_ms=1) as engine:
            for _ in range(2):
                assert not send_order(
                    engine.address, build_order("1-a", 1), lambda: 1.0
                ).refusal
            wait_until(lambda: engine.state.versions_by_model, "the load")
            contents = query_engine(engine.address, 1, 1.0)
            assert contents.versions_by_model == {"m": "1"}
            assert contents.order_id == "1-a"
            assert len(engine.state.started_orders) == 1

    @pytest.mark.parametrize("checks_fencing", [False, True])
    def test_a_query_fences_orders_of_earlier_terms(self, checks_fencing):
        with running_engine(load_ms=1, checks_fencing=checks_fencing) as engine:
            query_engine(engine.address, 2, 1.0)
            answer = send_order(engine.address, build_order("1-a", 1), lambda: 1.0)
            assert bool(answer.refusal) is checks_fencing
            assert len(engine.state.started_orders) == (0 if checks_fencing else 1)

    def test_nothing_is_written_after_lease_expires(self):
        remaining = iter((1.0, 0.0))
        with running_engine() as engine:
            with pytest.raises(OrderNotSentError):
                send_order(
                    engine.address, build_order("1-a", 1), lambda: next(remaining)
                )
            assert engine.state.started_orders == []

    def test_closed_connection_leaves_outcome_unknown(self):
        with socket.create_server(("127.0.0.1", 0)) as server:
            address = f"127.0.0.1:{server.getsockname()[1]}"

            def close_connection():
                connection, _ = server.accept()
                connection.recv(65_536)
                connection.close()

            thread = threading.Thread(target=close_connection)
            thread.start()
            with pytest.raises(EngineUnreachableError):
                send_order(address, build_order("1-a", 1), lambda: 1.0)
            thread.join()


@pytest.fixture
def deployment(tmp_path):
    deployment = Deployment(tmp_path)
    try:
        yield deployment
    finally:
        deployment.close()


def build_model_change(version, replicas=2):
    zones = {"zone-1": replicas}
    spec = {"version": version, "adapters": ["a"], "replicas_by_zone": zones}
    return put("model", "m", spec)


def get_model_status(deployment):
    leader = deployment.find_leader()
    if leader is None:
        return {}
    address = deployment.operators[leader]
    path = "/v1/resources?kind=model"
    code, answer = deployment.request_operator_api("GET", path, address=address)
    return answer["resources"][0]["status"] if code == 200 else {}


def has_loaded(deployment, version, replicas=2):
    status = get_model_status(deployment)
    held = [row["version"] for row in status.get("engines", ())]
    orders = [row["order"] for row in status.get("engines", ())]
    return held == [version] * replicas and orders == [None] * replicas


class TestOrdersFromControlHosts:
    def test_rollout_completes_after_leader_is_killed(self, deployment):
        deployment.start_control_hosts(3)
        deployment.apply(
            [build_model_change("1"), put("stage", "generate", {"model": "m"})], "first"
        )
        entries = deployment.start_entry_hosts(2)
        for number in range(3):
            arguments = ["galenadrum._internal.demo.engine", "--zone", "zone-1"]
            arguments += ["--server-id", f"engine-{number}", "--stage", "generate"]
            arguments += ["--checks-fencing", str(number == 0), "--load-ms", "300"]
            for entry in entries:
                arguments += ["--entry", deployment.callers[entry]]
            deployment.start_process(f"engine-{number}", arguments)
        wait_until(lambda: has_loaded(deployment, "1"), "version 1 loaded")
        deployment.apply([build_model_change("2")], "second")
        wait_until(
            lambda: any(
                row["order"] for row in get_model_status(deployment).get("engines", ())
            ),
            "an order for version 2",
        )
        leader = deployment.find_leader()
        assert leader is not None
        deployment.processes[leader].kill()
        wait_until(lambda: deployment.find_leader() is not None, "another leader")
        wait_until(lambda: has_loaded(deployment, "2"), "version 2 loaded")
        metrics = read_metrics(deployment)
        ended = 'galenadrum_orders_ended_total{action="switch",outcome="done"}'
        assert ended in metrics
        assert "galenadrum_revision 2" in metrics
        assert "galenadrum_claims 0" in metrics
        assert 'galenadrum_orders_open{action="switch",state="queued"} 0' in metrics


def read_metrics(deployment):
    address = deployment.operators[deployment.find_leader()]
    headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
    url = f"http://{address}/metrics"
    return deployment.pool.request("GET", url, headers=headers).data.decode()


class TestFrozenLeader:
    def test_engines_receive_no_order_of_it_after_new_leader(self, deployment):
        deployment.start_control_hosts(3)
        stage = put("stage", "generate", {"model": "m"})
        deployment.apply([build_model_change("1", 4), stage], "first")
        [entry] = deployment.start_entry_hosts(1)
        for number in range(4):
            name = f"engine-{number}"
            arguments = ["galenadrum._internal.demo.engine", "--zone", "zone-1"]
            arguments += ["--server-id", name, "--stage", "generate"]
            arguments += ["--checks-fencing", str(number < 2), "--load-ms", "1500"]
            arguments += ["--entry", deployment.callers[entry]]
            process = deployment.start_process(name, arguments)
            deployment.backend_address_by_name[name] = (
                process.popen.stdout.readline().decode().strip()
            )
        wait_until(lambda: has_loaded(deployment, "1", 4), "version 1 loaded")
        deployment.apply([build_model_change("2", 4)], "second")
        wait_until(lambda: get_order_terms(deployment, 5), "an order for version 2")
        frozen = deployment.find_leader()
        address = deployment.operators.pop(frozen)
        deployment.processes[frozen].signal(signal.SIGSTOP)
        wait_until(lambda: deployment.find_leader() is not None, "another leader")
        before = len(get_order_terms(deployment))
        wait_until(lambda: get_order_terms(deployment, before + 1), "its order")
        deployment.processes[frozen].signal(signal.SIGCONT)
        deployment.operators[frozen] = address
        wait_until(lambda: has_loaded(deployment, "2", 4), "version 2 loaded")
        assert len(set(get_order_terms(deployment))) == 2
        for name in deployment.backend_address_by_name:
            orders = get_received_orders(deployment, name)
            terms = [term for _, term, _ in orders]
            assert terms == sorted(terms)
            # An engine refuses an order that arrives while another one runs.
            assert [refusal for _, _, refusal in orders if refusal] == []


def get_received_orders(deployment, name):
    return get_json(
        f"http://{deployment.backend_address_by_name[name]}{CALL_RECORD_PATH}"
    )[1]["orders"]


def get_order_terms(deployment, at_least=0):
    """Return the terms of all received orders, or none if under ``at_least``."""
    orders = [
        term
        for name in deployment.backend_address_by_name
        for _, term, _ in get_received_orders(deployment, name)
    ]
    return orders if len(orders) >= at_least else []
