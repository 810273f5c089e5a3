"""Prompt parts that engines hold are known to all dispatchers and are fetched."""

import asyncio

from lib.routing_deployment import configuration, run_deployment

ENGINES = [("l1", "llm", "a"), ("l2", "llm", "b")]
HEADERS = (
    (b"X-Model", b"m"),
    (b"X-Token-Usage", b"2100,20"),
    (b"X-Prefix-Hash", b"5c1e:2000,91bd:100"),
)
FETCHING = {
    "Name": "llm",
    "Engine": {
        "Concurrency": 4,
        "KvCapacityTokens": 90_000,
        "KvTokenBytes": 35_136,
        "LinkMbps": 370_000.0,
        "Migrations": True,
    },
}


def build_document():
    services = [s for s in configuration()["Services"] if s["Name"] != "llm"]
    return configuration(version=2, Services=[*services, FETCHING])


async def send_stream(deployment, request_id):
    _, status, _, _ = await deployment.send_request(
        "/note/x",
        method=b"POST",
        headers=HEADERS,
        body=b"{}",
        request_id=request_id,
    )
    assert status == 200


class TestHeldPrompts:
    def test_part_is_fetched_from_the_engine_that_has_read_it(self, tmp_path):
        async def steps(deployment):
            await deployment.replace_configuration(build_document())
            await deployment.wait_ready(version=2)
            controls = deployment.control_daemon_by_zone.values()
            for engine in deployment.engines.values():
                engine.events, engine.event_interval_s = 40, 0.03

            def is_known_everywhere():
                return all(
                    any(control.dispatch.held_prompts.list_prompts())
                    for control in controls
                )

            first = asyncio.ensure_future(send_stream(deployment, "00000000000000a0"))
            await deployment.wait_until(is_known_everywhere)
            # An engine of four slots is filled up to three.
            others = [
                asyncio.ensure_future(send_stream(deployment, f"00000000000000a{n}"))
                for n in range(1, 5)
            ]
            await asyncio.gather(first, *others)
            (reader,) = {
                held.server_id
                for control in controls
                for held in list(control.dispatch.held_prompts.list_prompts())[:1]
            }
            fetched_from = {
                head.get(b"kv-fetch")
                for engine in deployment.engines.values()
                if engine.server_id != reader
                for head in engine.head_by_request_id.values()
            }
            address = deployment.engines[reader].address.encode()
            assert fetched_from in ({address}, {address, None})

        run_deployment(tmp_path, steps, ENGINES)
