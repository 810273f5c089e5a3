"""End-to-end routing through control hosts, entry hosts and engines over sockets."""

import asyncio
import contextlib
import json
import logging

import pytest

from galenadrum._internal.network.http1.client import BrokenResponseError
from lib.routing_deployment import configuration, run_deployment

PROMPT = (
    (b"X-Model", b"m"),
    (b"X-Token-Usage", b"900,20"),
    (b"X-Prefix-Hash", b"5c1e:800,91bd:100"),
)
ONE_PIECE = ((b"X-Chunks", b"1,1"), (b"X-Chunk-Key", b"k"))
STREAM = b"".join(b"id: %d\ndata: piece %d\n\n" % (i, i) for i in range(1, 5))
STAGES = ((b"X-Chunks", b"2,3"), (b"X-Chunk-Key", b"key"))


async def check_stream_is_incomplete(deployment):
    """Check that a stream that engines cut doesn't reach the caller as complete."""
    request_id = "00000000000000c1"
    try:
        _, status, _, _ = await deployment.send_request(
            "/plan/x",
            method=b"POST",
            headers=PROMPT + STAGES,
            body=b"{}",
            request_id=request_id,
        )
    except BrokenResponseError:
        return
    # A complete response may only say that the request failed or did not run.
    assert status in (502, 503)
    if status == 503:
        engines = deployment.engines.values()
        assert not any(engine.run_count_by_request_id[request_id] for engine in engines)


async def check_streams_are_whole(deployment):
    """Check the bodies of three streams that may be resumed."""
    for _ in range(3):
        _, status, _, body = await deployment.send_request(
            "/note/x", method=b"POST", headers=PROMPT, body=b"{}"
        )
        assert status == 200
        assert body == STREAM


async def check_stream_is_not_resumed(deployment):
    """Check that a stream is aborted after one run, though its route may resume it."""
    with pytest.raises(BrokenResponseError):
        await deployment.send_request(
            "/note/x", method=b"POST", headers=PROMPT, body=b"{}"
        )
    runs = [e.run_count_by_request_id for e in deployment.engines.values()]
    assert sum(count.total() for count in runs) == 1


PLAIN_ENGINES = [("p1", "plain", "a"), ("p2", "plain", "b")]
MODEL_ENGINES = [("e1", "enc", "a"), ("l1", "llm", "a"), ("l2", "llm", "b")]


class TestPlainRequests:
    def test_server_response_is_forwarded(self, tmp_path):
        async def steps(deployment):
            request_id, status, headers, body = await deployment.send_request(
                "/stock/x?y=1"
            )
            assert status == 200
            assert body == b"answer to " + request_id.encode()
            assert headers[b"x-response-signature"] == b"s." + request_id.encode()
            ran = [e for e in deployment.engines.values() if e.run_count_by_request_id]
            head = ran[0].head_by_request_id[request_id]
            assert head.target == b"/stock/x?y=1"
            assert head.get(b"x-tenant") == b"t1"
            assert head.get(b"authorization") is None
            assert 4_000 < int(head.get(b"x-deadline-ms")) <= 5_000

        run_deployment(tmp_path, steps, PLAIN_ENGINES)

    def test_end_of_each_request_is_logged_as_an_event(self, tmp_path, caplog):
        caplog.set_level(logging.INFO)

        async def steps(deployment):
            await deployment.send_request("/stock/x")
            await deployment.send_request("/stock/x", key="bad")

        run_deployment(tmp_path, steps, PLAIN_ENGINES)
        events = [
            record.event
            for record in caplog.records
            if getattr(record, "event", {}).get("kind") == "request_ended"
        ]
        assert [event["outcome"] for event in events] == ["served", "denied"]
        assert events[0]["route"] == "stock"
        assert events[0]["zone"] in ("a", "b", "c")
        assert events[1]["reason"] == "the key is not known"

    def test_unknown_route_and_key_are_denied(self, tmp_path):
        async def steps(deployment):
            assert (await deployment.send_request("/none/x"))[1] == 404
            assert (await deployment.send_request("/stock/x", key="bad"))[1] == 401
            assert (await deployment.send_request("/stock/x", key=None))[1] == 401

        run_deployment(tmp_path, steps, PLAIN_ENGINES)

    def test_repeatable_request_is_retried_on_another_server(self, tmp_path):
        async def steps(deployment):
            deployment.engines["p1"].faults.add("reset")
            statuses = [
                (await deployment.send_request("/stock/x"))[1] for _ in range(5)
            ]
            assert statuses == [200] * 5

        run_deployment(tmp_path, steps, PLAIN_ENGINES)

    def test_unsigned_success_is_not_forwarded(self, tmp_path):
        async def steps(deployment):
            for engine in deployment.engines.values():
                engine.faults.add("unsigned")
            _, status, _, body = await deployment.send_request("/stock/x")
            assert status == 502
            assert b"answer to" not in body

        run_deployment(tmp_path, steps, PLAIN_ENGINES)

    def test_non_repeatable_request_runs_once_and_fails_with_502(self, tmp_path):
        async def steps(deployment):
            for engine in deployment.engines.values():
                engine.faults.add("reset")
            request_id, status, _, _ = await deployment.send_request(
                "/confirm/x", method=b"POST", body=b"{}"
            )
            assert status == 502
            ran = sum(
                e.run_count_by_request_id[request_id]
                for e in deployment.engines.values()
            )
            assert ran == 1

        run_deployment(tmp_path, steps, PLAIN_ENGINES)

    def test_rejected_non_repeatable_request_is_sent_to_another_server(self, tmp_path):
        async def steps(deployment):
            deployment.engines["p1"].faults.add("reject")
            request_id, status, _, _ = await deployment.send_request(
                "/confirm/x", method=b"POST", body=b"{}"
            )
            assert status == 200
            assert deployment.engines["p2"].run_count_by_request_id[request_id] == 1

        run_deployment(tmp_path, steps, PLAIN_ENGINES)

    def test_refusal_has_retry_after(self, tmp_path):
        async def steps(deployment):
            for engine in deployment.engines.values():
                engine.faults.add("reject")
            request_id, status, headers, _ = await deployment.send_request("/stock/x")
            assert status == 503
            assert float(headers[b"retry-after"]) > 0
            assert headers[b"x-attempt-id"] == request_id.encode()
            assert not any(
                e.run_count_by_request_id for e in deployment.engines.values()
            )

        run_deployment(tmp_path, steps, PLAIN_ENGINES)


class TestStreams:
    def test_stages_run_before_the_stream(self, tmp_path):
        async def steps(deployment):
            request_id, status, _, body = await deployment.send_request(
                "/plan/x", method=b"POST", headers=PROMPT + STAGES, body=b"{}"
            )
            assert status == 200
            assert body.count(b"data: piece") == 4
            entries = [
                entry
                for stage_call in deployment.engines["e1"].stage_calls
                for entry in stage_call
                if entry["Id"] == request_id
            ]
            assert [e["Phase"] for e in entries] == [0, 0, 1, 1, 1]
            assert all(len(e["Inputs"]) == 2 for e in entries if e["Phase"] == 1)
            llm = next(
                e
                for e in deployment.engines.values()
                if e.run_count_by_request_id[request_id]
            )
            inputs = llm.head_by_request_id[request_id].get(b"x-inputs").split(b",")
            assert len(inputs) == 3
            await deployment.wait_until(lambda: not deployment.engines["e1"].results)

        run_deployment(tmp_path, steps, MODEL_ENGINES)

    def test_pieces_of_many_requests_are_batched(self, tmp_path):
        async def steps(deployment):
            deployment.engines["e1"].work_s = 0.05
            answers = await asyncio.gather(
                *(
                    deployment.send_request(
                        "/plan/x",
                        method=b"POST",
                        headers=(
                            *PROMPT,
                            (b"X-Chunks", b"1,1"),
                            (b"X-Chunk-Key", b"k"),
                        ),
                        body=b"{}",
                        zone="abc"[number % 3],
                    )
                    for number in range(9)
                )
            )
            assert {a[1] for a in answers} == {200}
            assert len(deployment.engines["e1"].stage_calls) < 18

        run_deployment(tmp_path, steps, MODEL_ENGINES)

    def test_broken_stream_is_resumed_on_another_engine(self, tmp_path):
        async def steps(deployment):
            first = deployment.engines["l1"]
            first.faults.add("cut")
            for _ in range(3):
                _, status, _, body = await deployment.send_request(
                    "/note/x", method=b"POST", headers=PROMPT, body=b"{}"
                )
                assert status == 200
                ids = [line for line in body.split(b"\n") if line.startswith(b"id:")]
                assert ids == [b"id: 1", b"id: 2", b"id: 3", b"id: 4"]

        run_deployment(tmp_path, steps, MODEL_ENGINES)

    def test_resumed_stream_has_no_bytes_of_the_broken_run(self, tmp_path):
        # The start of the event that broke off was joined to the same event, resumed.
        async def steps(deployment):
            cutting = deployment.engines["l1"]
            cutting.faults.add("cut")
            await check_streams_are_whole(deployment)
            assert cutting.run_count_by_request_id

        run_deployment(tmp_path, steps, MODEL_ENGINES)

    def test_broken_stream_that_may_not_be_resumed_is_incomplete(self, tmp_path):
        async def steps(deployment):
            for engine in deployment.engines.values():
                engine.faults.add("cut")
            await check_stream_is_incomplete(deployment)

        run_deployment(tmp_path, steps, MODEL_ENGINES)

    def test_unframed_stream_cut_inside_an_event_is_not_complete(self, tmp_path):
        # The end of the connection was taken for the end of the stream.
        async def steps(deployment):
            for engine in deployment.engines.values():
                engine.faults |= {"unframed", "cut"}
            await check_stream_is_incomplete(deployment)

        run_deployment(tmp_path, steps, MODEL_ENGINES)

    def test_unframed_stream_that_ends_after_an_event_is_complete(self, tmp_path):
        async def steps(deployment):
            for engine in deployment.engines.values():
                engine.faults.add("unframed")
            await check_streams_are_whole(deployment)

        run_deployment(tmp_path, steps, MODEL_ENGINES)

    def test_unframed_stream_without_any_event_is_not_complete(self, tmp_path):
        # The head alone, and the end of the connection, made an empty stream.
        async def steps(deployment):
            for engine in deployment.engines.values():
                engine.cut_number, engine.cut_event = 1, b""
                engine.faults |= {"unframed", "cut"}
            await check_stream_is_incomplete(deployment)

        run_deployment(tmp_path, steps, MODEL_ENGINES)

    def test_unframed_stream_cut_inside_an_event_is_resumed(self, tmp_path):
        async def steps(deployment):
            cutting = deployment.engines["l1"]
            cutting.faults |= {"unframed", "cut"}
            await check_streams_are_whole(deployment)
            assert cutting.run_count_by_request_id

        run_deployment(tmp_path, steps, MODEL_ENGINES)

    def test_stream_broken_inside_a_large_event_is_not_resumed(self, tmp_path):
        # The part that the caller had got already was followed by the whole event.
        async def steps(deployment):
            for server_id in ("l1", "l2"):
                deployment.engines[server_id].cut_event = b"data: " + b"x" * 300_000
                deployment.engines[server_id].faults.add("cut")
            await check_stream_is_not_resumed(deployment)

        run_deployment(tmp_path, steps, MODEL_ENGINES)

    def test_broken_stream_without_event_ids_is_not_resumed(self, tmp_path):
        # The next engine began anew, and the caller got the first events twice.
        async def steps(deployment):
            for server_id in ("l1", "l2"):
                deployment.engines[server_id].faults |= {"anonymous", "cut"}
            await check_stream_is_not_resumed(deployment)

        run_deployment(tmp_path, steps, MODEL_ENGINES)

    def test_engine_request_is_cancelled_when_caller_disconnects(self, tmp_path):
        async def steps(deployment):
            for server_id in ("l1", "l2"):
                deployment.engines[server_id].faults.add("hang")
            call = asyncio.ensure_future(
                deployment.send_request(
                    "/plan/x", method=b"POST", headers=PROMPT + STAGES, body=b"{}"
                )
            )
            engines = deployment.engines
            await deployment.wait_until(
                lambda: (
                    engines["l1"].run_count_by_request_id
                    or engines["l2"].run_count_by_request_id
                )
            )
            call.cancel()
            await asyncio.gather(call, return_exceptions=True)
            await deployment.wait_until(
                lambda: engines["l1"].cancelled or engines["l2"].cancelled
            )

        run_deployment(tmp_path, steps, MODEL_ENGINES)


@pytest.mark.parametrize("fault", ["endless_head", "endless_body"])
class TestServersThatSendBytesWithoutEnd:
    def test_repeatable_request_is_served_by_another_server(self, fault, tmp_path):
        async def steps(deployment):
            deployment.engines["p-1"].faults.add(fault)
            for _ in range(6):
                _, status, _, body = await deployment.send_request("/stock/x")
                assert status == 200
                assert body.startswith(b"answer to")
            balancer = deployment.entry_daemon_by_zone["a"].balancer
            health = balancer._servers_by_id["p-1"].health
            assert health.ejected or health.failure_share > 0

        engines = [("p-1", "plain", "a"), ("p-2", "plain", "b")]
        run_deployment(tmp_path, steps, engines)

    def test_non_repeatable_request_has_an_unknown_outcome(self, fault, tmp_path):
        async def steps(deployment):
            deployment.engines["p-1"].faults.add(fault)
            request_id, status, _, _ = await deployment.send_request(
                "/confirm/x", method=b"POST"
            )
            assert status == 502
            assert deployment.engines["p-1"].run_count_by_request_id[request_id] == 1

        run_deployment(tmp_path, steps, [("p-1", "plain", "a")])

    def test_stream_is_broken_off_or_served_by_another_engine(self, fault, tmp_path):
        async def steps(deployment):
            deployment.engines["g-1"].faults.add(fault)
            with contextlib.suppress(BrokenResponseError):
                _, status, _, body = await deployment.send_request(
                    "/note/x", method=b"POST", headers=PROMPT, body=b"{}"
                )
                assert status == 502 or (status, body) == (200, STREAM)
            deployment.engines["g-1"].faults.clear()
            await check_streams_are_whole(deployment)

        engines = [("g-1", "llm", "a"), ("g-2", "llm", "b")]
        run_deployment(tmp_path, steps, engines)

    def test_pieces_are_processed_by_another_server(self, fault, tmp_path):
        async def steps(deployment):
            deployment.engines["s-1"].faults.add(fault)
            _, status, _, body = await deployment.send_request(
                "/plan/x", method=b"POST", headers=PROMPT + STAGES, body=b"{}"
            )
            assert (status, body) == (200, STREAM)

        engines = [("g-1", "llm", "a"), ("s-1", "enc", "a"), ("s-2", "enc", "b")]
        run_deployment(tmp_path, steps, engines)


class TestConfigurations:
    def test_invalid_configuration_is_refused_with_all_findings(self, tmp_path):
        async def steps(deployment):
            broken = configuration(2)
            broken["Routes"][0]["Service"] = "missing"
            broken["Routes"][1]["TimeoutMs"] = 0
            body = json.dumps(broken).encode()
            status, _, answer = await deployment.caller.call(
                deployment.api_address_by_zone["a"],
                b"POST",
                b"/api/config/replace",
                body=body,
            )
            assert status == 400
            assert len(json.loads(answer)["Error"]) == 2
            assert (
                await deployment.caller.read_configuration(
                    deployment.api_address_by_zone["b"]
                )
            )[1]["Version"] == 1

        run_deployment(tmp_path, steps)

    def test_configuration_is_applied_and_readable_on_all_hosts(self, tmp_path):
        async def steps(deployment):
            changed = configuration(5, Tenants=[{"Name": "t1", "ApiKeys": ["k2"]}])
            await deployment.replace_configuration(changed, "b")
            for zone in "abc":
                status, document = await deployment.caller.read_configuration(
                    deployment.api_address_by_zone[zone]
                )
                assert (status, document) == (200, changed)
            await deployment.wait_ready(5)
            for zone in "abc":
                assert (await deployment.send_request("/stock/x", zone, key="k1"))[
                    1
                ] == 401
                assert (await deployment.send_request("/stock/x", zone, key="k2"))[
                    1
                ] == 200

        run_deployment(tmp_path, steps, PLAIN_ENGINES)

    def test_same_and_older_versions_are_acknowledged_and_ignored(self, tmp_path):
        async def steps(deployment):
            await deployment.replace_configuration(configuration(5))
            other = configuration(5, Tenants=[])
            for document in (other, configuration(3), configuration(5)):
                assert (
                    await deployment.caller.replace_configuration(
                        deployment.api_address_by_zone["c"], document
                    )
                    == 200
                )
            _, document = await deployment.caller.read_configuration(
                deployment.api_address_by_zone["a"]
            )
            assert document == configuration(5)

        run_deployment(tmp_path, steps)

    def test_concurrent_documents_of_one_version_have_one_winner(self, tmp_path):
        async def steps(deployment):
            one = configuration(9, Tenants=[{"Name": "t1", "ApiKeys": ["one"]}])
            two = configuration(9, Tenants=[{"Name": "t1", "ApiKeys": ["two"]}])
            replace, apis = (
                deployment.caller.replace_configuration,
                deployment.api_address_by_zone,
            )
            await asyncio.gather(replace(apis["a"], one), replace(apis["b"], two))
            read = [
                await deployment.caller.read_configuration(apis[zone]) for zone in "abc"
            ]
            assert read[0] == read[1] == read[2]
            assert read[0][1] in (one, two)

        run_deployment(tmp_path, steps)


class TestLostControlHosts:
    def test_requests_with_keys_are_refused_without_quorum(self, tmp_path):
        async def steps(deployment):
            for zone in "ab":
                await deployment.control_daemon_by_zone.pop(zone).stop()
            status, _ = await deployment.caller.read_configuration(
                deployment.api_address_by_zone["c"]
            )
            assert status == 503
            gateway = deployment.entry_daemon_by_zone["c"]
            await deployment.wait_until(lambda: not gateway.is_ready)
            assert (await deployment.send_request("/stock/x", "c"))[1] == 503

        run_deployment(tmp_path, steps, PLAIN_ENGINES)

    def test_control_host_rejoins_after_losing_its_disk(self, tmp_path):
        async def steps(deployment):
            await deployment.replace_configuration(configuration(4))
            await deployment.control_daemon_by_zone.pop("b").stop()
            for path in (tmp_path / "b").rglob("*"):
                if path.is_file():
                    path.unlink()
            await deployment.start_control("b", first=False)
            joined = deployment.control_daemon_by_zone["b"]
            await deployment.wait_until(lambda: joined.state.version == 4)
            await deployment.replace_configuration(configuration(6), "b")
            members = joined.member_addresses
            await deployment.wait_until(lambda: len(members()) == 3)

        run_deployment(tmp_path, steps)

    def test_entry_host_places_requests_without_control_hosts(self, tmp_path):
        async def steps(deployment):
            for zone in "abc":
                await deployment.control_daemon_by_zone.pop(zone).stop()
            gateway = deployment.entry_daemon_by_zone["a"]
            await deployment.wait_until(lambda: not gateway.links.links_up())
            _, status, _, body = await deployment.send_request(
                "/plan/x", method=b"POST", headers=PROMPT + STAGES, body=b"{}"
            )
            assert status == 200
            assert body.count(b"data: piece") == 4

        run_deployment(tmp_path, steps, MODEL_ENGINES)


class TestServers:
    def test_draining_server_gets_no_new_requests(self, tmp_path):
        async def steps(deployment):
            engine = deployment.engines["p1"]
            engine.state = "draining"
            for gateway in deployment.entry_daemon_by_zone.values():
                registry = gateway.servers.registry
                await deployment.wait_until(
                    lambda r=registry: not r.get("p1").accepts_requests
                )
            before = sum(engine.run_count_by_request_id.values())
            for _ in range(10):
                assert (await deployment.send_request("/stock/x"))[1] == 200
            assert sum(engine.run_count_by_request_id.values()) == before

        run_deployment(tmp_path, steps, PLAIN_ENGINES)
