"""Deployments of daemons and backend servers as processes, for functional tests."""

import hashlib
import json
from concurrent.futures import ThreadPoolExecutor

import urllib3

from lib.processes import (
    ROOT,
    Process,
    get_json,
    reserve_address,
    wait_until,
    write_settings,
)

OPERATOR_TOKEN = "operator-token"
CALLER_KEY = "caller-key"
STAGES = ("encode", "retrieve", "rerank", "generate")


def digest_of(text):
    return hashlib.sha256(text.encode()).hexdigest()


def put(kind, name, spec, base_revision=None):
    change = {"action": "put", "kind": kind, "name": name, "spec": spec}
    if base_revision is not None:
        change["base_revision"] = base_revision
    return change


def build_standard_changes(deadline_ms=20_000):
    """Return changes that declare an organisation, stages and pipelines.

    The pipeline plan has four stages; the pipeline book has one that is not repeatable.
    """
    return [
        put("organisation", "office", {"key_sha256": [digest_of(CALLER_KEY)]}),
        *(put("stage", name, {"streams": name == "generate"}) for name in STAGES),
        put("stage", "charge", {"repeatable": False}),
        put("pipeline", "plan", {"stages": list(STAGES), "deadline_ms": deadline_ms}),
        put("pipeline", "book", {"stages": ["charge"], "deadline_ms": deadline_ms}),
    ]


class Deployment:
    """Starts processes and keeps their settings and addresses.

    Args:
        folder: Folder for settings, data and logs.
        source: Folder from which the daemons import packages.
        adapt_settings: Function that converts settings to the format of ``source``.

    Attributes:
        processes: Processes by name.
        control_settings: Settings of control hosts by member id.
        entry_settings: Settings of entry hosts by host id.
        operators: Operator API addresses of control hosts by member id.
        callers: Caller API addresses of entry hosts by host id.
        operator_address_by_entry: Operator addresses of entry hosts by host id.
        backend_address_by_name: Addresses of backend servers by server id.
    """

    def __init__(self, folder, source=ROOT / "src", adapt_settings=dict):
        self.folder = folder
        self.source = source
        self.adapt_settings = adapt_settings
        self.processes = {}
        self.control_settings = {}
        self.entry_settings = {}
        self.operators = {}
        self.callers = {}
        self.operator_address_by_entry = {}
        self.backend_address_by_name = {}
        self.pool = urllib3.PoolManager(retries=False, maxsize=300, timeout=60)

    def close(self):
        for process in self.processes.values():
            process.kill()

    def start_process(self, name, arguments, source=ROOT / "src"):
        process = Process(name, arguments, self.folder, source)
        self.processes[name] = process
        return process

    def start_daemon(self, role, name, settings):
        path = write_settings(self.folder, name, self.adapt_settings(settings))
        return self.start_process(name, ["galenadrum", role, str(path)], self.source)

    def start_control_hosts(self, count=1, **extra):
        names = [f"control-{number}" for number in range(1, count + 1)]
        peers = {name: reserve_address() for name in names}
        members = [
            {
                "member_id": name,
                "peer_address": address,
                "operator_address": self.operators.setdefault(name, reserve_address()),
            }
            for name, address in peers.items()
        ]
        for name in names:
            settings = {
                "role": "control",
                "member_id": name,
                "zone": "zone-1",
                "data_folder": str(self.folder / name),
                "operator_address": self.operators[name],
                "peer_address": peers[name],
                "members": members,
                "operators": [
                    {"name": "venture", "token_sha256": digest_of(OPERATOR_TOKEN)}
                ],
                **extra,
            }
            self.control_settings[name] = settings
            self.start_control_host(name)
        self.wait_leader()

    def start_control_host(self, name):
        return self.start_daemon("control", name, self.control_settings[name])

    def replace_control(self, old_name, new_name):
        """Start a member with an empty disk that replaces one whose disk is lost."""
        settings = dict(self.control_settings.pop(old_name))
        self.operators.pop(old_name)
        self.operators[new_name] = reserve_address()
        other_addresses = [s["peer_address"] for s in self.control_settings.values()]
        settings |= {
            "member_id": new_name,
            "data_folder": str(self.folder / new_name),
            "operator_address": self.operators[new_name],
            "peer_address": reserve_address(),
            "members": [],
            "join_addresses": other_addresses,
            "replaces": old_name,
        }
        self.control_settings[new_name] = settings
        self.start_control_host(new_name)

    def members(self):
        """Return the member ids of the replicated log that the leader reports."""
        leader = self.find_leader()
        if leader is None:
            return []
        _, status = self.request_operator_api(
            "GET", "/v1/status", address=self.operators[leader]
        )
        return status["members"]

    def read_deadline_ms(self, name):
        """Return a pipeline's deadline in ms from the leader, or None if not declared.

        A leader that loses its quorum after it was found refuses the request with
        status 503; the request is then retried.
        """
        path = f"/v1/resources?kind=pipeline&name={name}"
        answers = []

        def read_resources():
            leader = self.find_leader()
            if leader is None:
                return False
            address = self.operators[leader]
            status, answer = self.request_operator_api("GET", path, address=address)
            if status == 503:
                return False
            assert status == 200, answer
            answers.append(answer["resources"])
            return True

        wait_until(read_resources, f"an answer about {name}")
        [resources] = answers
        return resources[0]["spec"]["deadline_ms"] if resources else None

    def submit(self, changes, change_id):
        """Send changes to members in turn until one accepts or refuses them.

        Members that are unreachable or respond with status 503 are tried again.
        """
        body = {"change_id": change_id, "changes": changes}
        answers = []

        def try_each():
            for address in list(self.operators.values()):
                try:
                    status, answer = self.request_operator_api(
                        "POST", "/v1/changes", body, address
                    )
                except urllib3.exceptions.HTTPError:
                    continue
                if status != 503:
                    answers.append((status, answer))
                    return True
            return False

        wait_until(try_each, f"an answer to {change_id}")
        return answers[0]

    def start_entry_hosts(self, count=1, zone="zone-1", **extra):
        return self.start_zones({zone: count}, **extra)

    def start_zones(self, count_by_zone, **extra):
        """Start entry hosts in zones whose hosts have each other's peer addresses."""
        zones = {
            f"{zone}-entry-{number}": zone
            for zone, count in count_by_zone.items()
            for number in range(1, count + 1)
        }
        peers = {name: reserve_address() for name in zones}
        controls = [s["peer_address"] for s in self.control_settings.values()]
        extra.setdefault("control_addresses", controls)
        for name, zone in zones.items():
            self.callers[name] = reserve_address()
            self.operator_address_by_entry[name] = reserve_address()
            same_zone_peers = [
                peers[n] for n in zones if zones[n] == zone and n != name
            ]
            other_zone_peers = [peers[n] for n in zones if zones[n] != zone]
            self.entry_settings[name] = {
                "role": "entry",
                "host_id": name,
                "zone": zone,
                "caller_address": self.callers[name],
                "operator_address": self.operator_address_by_entry[name],
                "peer_address": peers[name],
                "zone_peer_addresses": same_zone_peers,
                "other_zone_addresses": other_zone_peers,
                "observability": {"trace_file": f"{name}.traces"},
                **extra,
            }
            self.start_entry_host(name)
        return list(zones)

    def start_entry_host(self, name):
        return self.start_daemon("entry", name, self.entry_settings[name])

    def start_backend(self, name, stages, entries, zone="zone-1", **options):
        arguments = ["galenadrum._internal.demo.backend_server"]
        arguments += ["--server-id", name, "--zone", zone]
        for stage in stages:
            arguments += ["--stage", stage]
        if "generate" in stages:
            arguments += ["--streamed", "generate"]
        for entry in entries:
            arguments += ["--entry", self.callers[entry]]
        for option, value in options.items():
            arguments += [f"--{option.replace('_', '-')}", str(value)]
        process = self.start_process(name, arguments)
        self.backend_address_by_name[name] = (
            process.popen.stdout.readline().decode().strip()
        )
        return process

    def wait_leader(self):
        def is_leader_known():
            if all(self.processes[n].popen.poll() is not None for n in self.operators):
                for name in self.operators:
                    self.processes[name].assert_running()
            return self.find_leader() is not None

        wait_until(is_leader_known, "a leader")

    def find_leader(self):
        for name, address in self.operators.items():
            if self.processes[name].popen.poll() is not None:
                continue
            try:
                _, status = self.request_operator_api(
                    "GET", "/v1/status", address=address
                )
            except urllib3.exceptions.HTTPError:
                continue
            if status.get("role") == "leader":
                return name
        return None

    def request_operator_api(self, method, path, body=None, address=None):
        address = address or self.operators[self.find_leader()]
        response = self.pool.request(
            method,
            f"http://{address}{path}",
            json=body,
            headers={"Authorization": f"Bearer {OPERATOR_TOKEN}"},
            timeout=5,
        )
        return response.status, response.json()

    def apply(self, changes, change_id):
        body = {"change_id": change_id, "changes": changes}
        status, answer = self.request_operator_api("POST", "/v1/changes", body)
        assert status == 200, answer
        return answer["revision"]

    def wait_ready(self, names, servers=0):
        for name in names:
            wait_until(lambda name=name: self.is_ready(name, servers), f"{name} ready")

    def is_ready(self, name, servers):
        self.processes[name].assert_running()
        status, body = get_json(
            f"http://{self.operator_address_by_entry[name]}/v1/status"
        )
        return status == 200 and body["ready"] and len(body["server_ids"]) >= servers

    def read_revision(self, name):
        return get_json(f"http://{self.operator_address_by_entry[name]}/v1/status")[1][
            "revision"
        ]

    def call(self, entry, pipeline, stage_input, **options):
        headers = {"Authorization": f"Bearer {options.pop('key', CALLER_KEY)}"}
        headers |= options.pop("headers", {})
        return self.pool.request(
            "POST",
            f"http://{self.callers[entry]}/v1/pipelines/{pipeline}",
            body=json.dumps({"input": stage_input, **options}),
            headers=headers,
        )

    def call_many(self, entries, pipeline, inputs, concurrency):
        with ThreadPoolExecutor(concurrency) as executor:
            futures = [
                executor.submit(
                    self.call, entries[number % len(entries)], pipeline, stage_input
                )
                for number, stage_input in enumerate(inputs)
            ]
            return [future.result() for future in futures]

    def read_run_counts(self, backend):
        return get_json(f"http://{self.backend_address_by_name[backend]}/v1/runs")[1]


def build_expected_output(stage_input, stages=STAGES):
    output = stage_input
    for stage in stages:
        output = f"{stage}({output})"
    return output
