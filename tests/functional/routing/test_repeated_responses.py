"""Servers that write an earlier response once more where the next one is expected."""

import asyncio

import pytest

from lib.cut_off_hosts import cut_off, wait_for_relays
from lib.routing_deployment import run_deployment

PROMPT = (
    (b"X-Model", b"m"),
    (b"X-Token-Usage", b"900,20"),
    (b"X-Prefix-Hash", b"5c1e:800,91bd:100"),
)
STAGES = ((b"X-Chunks", b"1,1"), (b"X-Chunk-Key", b"key"))
STREAM = b"".join(b"id: %d\ndata: piece %d\n\n" % (i, i) for i in range(1, 5))
PLAIN = [("p-1", "plain", "a"), ("p-2", "plain", "a")]
ENGINES = [("g-1", "llm", "a"), ("e-1", "enc", "a")]


def count_runs(deployment, request_id):
    """Return how often all servers together ran a request."""
    engines = deployment.engines.values()
    return sum(engine.run_count_by_request_id[request_id] for engine in engines)


async def use_one_relay(deployment):
    """Let requests of zone "a" pass one other host, over one connection."""
    await wait_for_relays(deployment)
    daemon = deployment.entry_daemon_by_zone["a"]
    cut_off(daemon)
    other = deployment.entry_daemon_by_zone["b"].paths._own_address
    relays = tuple(r for r in daemon.links.relays if r.address == other)
    daemon.paths._relays = lambda: relays


async def send_after_refusal(deployment, path, count, **more):
    """Send requests, the first of which meets a refusal of each server.

    Returns:
        Status of each request and the number of its runs.
    """
    for engine in deployment.engines.values():
        engine.to_reject = 1
    outcomes = []
    for _ in range(count):
        request_id, status, _, _ = await deployment.send_request(path, **more)
        outcomes.append((status, count_runs(deployment, request_id)))
    return outcomes


def check_refusals(outcomes):
    """Check that each refusal is true and that nothing ran twice."""
    for status, runs in outcomes:
        assert runs <= 1
        if status == 503:
            assert runs == 0


@pytest.mark.parametrize("fault", ["repeat", "repeat_anonymous"])
class TestRefusalWrittenOnceMore:
    def test_plain_request_that_ran_is_refused_or_runs_twice(self, fault, tmp_path):
        async def steps(deployment):
            for engine in deployment.engines.values():
                engine.faults.add(fault)
            outcomes = await send_after_refusal(deployment, "/confirm/x", 6)
            check_refusals(outcomes)
            assert any(status == 200 for status, _ in outcomes)
            # A response that follows the copy in the same packet isn't lost.
            assert all(status != 504 for status, _ in outcomes)

        run_deployment(tmp_path, steps, PLAIN)

    def test_stream_that_ran_is_refused(self, fault, tmp_path):
        async def steps(deployment):
            for engine in deployment.engines.values():
                engine.faults.add(fault)
            stream = {"method": b"POST", "headers": PROMPT, "body": b"{}"}
            check_refusals(await send_after_refusal(deployment, "/note/x", 6, **stream))

        run_deployment(tmp_path, steps, ENGINES)


class TestRequestSentTwiceToOneServer:
    """The copy of a rejection names the request of both sends."""

    @pytest.mark.parametrize("is_relayed", [False, True], ids=["direct", "relayed"])
    def test_stream_whose_inputs_were_lost_runs_twice(self, is_relayed, tmp_path):
        # After a 409 the inputs are made again for the same engine.
        async def steps(deployment):
            engine = deployment.engines["g-1"]
            if is_relayed:
                await use_one_relay(deployment)
            engine.rejected_status = 409
            engine.faults.add("repeat")
            for number in range(6):
                engine.to_reject = number % 2
                request_id, status, _, body = await deployment.send_request(
                    "/plan/x",
                    method=b"POST",
                    headers=(*PROMPT, STAGES[0], (b"X-Chunk-Key", b"k%d" % number)),
                    body=b"{}",
                )
                assert count_runs(deployment, request_id) == 1
                assert (status, body) == (200, STREAM)

        run_deployment(tmp_path, steps, ENGINES)

    @pytest.mark.parametrize("is_relayed", [False, True], ids=["direct", "relayed"])
    def test_caller_that_uses_an_id_twice_has_its_request_run_twice(
        self, is_relayed, tmp_path
    ):
        async def steps(deployment):
            if is_relayed:
                await use_one_relay(deployment)
            for engine in deployment.engines.values():
                engine.faults.add("repeat")
            for number in range(3):
                for engine in deployment.engines.values():
                    engine.to_reject = 1
                request_id = f"{number + 1:016x}"
                statuses = []
                for _ in range(2):
                    _, status, _, _ = await deployment.send_request(
                        "/confirm/x", request_id=request_id
                    )
                    statuses.append(status)
                assert count_runs(deployment, request_id) == statuses.count(200)
                assert 200 in statuses

        run_deployment(tmp_path, steps, PLAIN)


class TestStageAnswerWrittenOnceMore:
    @pytest.mark.parametrize("to_reject", [0, 1])
    def test_pieces_get_results_of_another_request(self, to_reject, tmp_path):
        # Answers to stage calls name no request; a copy shifts all that follow.
        async def steps(deployment):
            server = deployment.engines["e-1"]
            server.faults.add("repeat")
            server.to_reject = to_reject
            for number in range(4):
                request_id, status, _, body = await deployment.send_request(
                    "/plan/x",
                    method=b"POST",
                    headers=(*PROMPT, STAGES[0], (b"X-Chunk-Key", b"k%d" % number)),
                    body=b"{}",
                )
                assert (status, body) == (200, STREAM)
                inputs = (
                    deployment.engines["g-1"]
                    .head_by_request_id[request_id]
                    .get(b"x-inputs")
                )
                assert server.request_by_handle[inputs.decode()] == (request_id, 1)

        run_deployment(tmp_path, steps, ENGINES)


class TestReleaseAnswerWrittenOnceMore:
    def test_call_fails_and_its_pieces_are_made_twice(self, tmp_path):
        # The answer to a release holds no results, and was taken for that to a call.
        async def steps(deployment):
            server = deployment.engines["e-1"]
            server.faults.add("repeat_release")
            for number in range(12):
                _, status, _, body = await deployment.send_request(
                    "/plan/x",
                    method=b"POST",
                    headers=(*PROMPT, STAGES[0], (b"X-Chunk-Key", b"k%d" % number)),
                    body=b"{}",
                )
                assert (status, body) == (200, STREAM)
                await asyncio.sleep(0.05)
            assert len(server.released) > 12
            pieces = [
                (entry["Id"], entry["Phase"], entry["Segment"])
                for entries in server.stage_calls
                for entry in entries
            ]
            assert len(pieces) == len(set(pieces))

        run_deployment(tmp_path, steps, ENGINES)
