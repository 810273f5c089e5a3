import hashlib
import json
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenadrum._internal.declarations.references import list_key_digests
from galenadrum._internal.exceptions import CheckFailedError
from galenadrum._internal.settings.check import check_files
from galenadrum._internal.settings.daemons import (
    read_control_settings,
    read_entry_settings,
)
from galenadrum._internal.settings.declarations import read_declarations

DIGEST = "ab" * 32
CALLER = "127.0.0.1:8000"
PEER = "127.0.0.1:8002"
PEER_2 = "127.0.0.1:9010"


def entry_settings():
    return {
        "role": "entry",
        "host_id": "nadi-1",
        "zone": "nadi",
        "caller_address": CALLER,
        "operator_address": "127.0.0.1:8001",
        "peer_address": PEER,
        "control_addresses": ["127.0.0.1:9000"],
        "zone_peer_addresses": ["127.0.0.1:8012"],
        "callers": {"workers": 8},
        "observability": {"trace_file": "traces.jsonl"},
    }


def control_settings():
    return {
        "role": "control",
        "member_id": "c1",
        "zone": "nadi",
        "data_folder": "data",
        "operator_address": "127.0.0.1:9001",
        "peer_address": "127.0.0.1:9000",
        "members": [
            {"member_id": "c1", "peer_address": "127.0.0.1:9000"},
            {"member_id": "c2", "peer_address": PEER_2},
            {"member_id": "c3", "peer_address": "127.0.0.1:9020"},
        ],
        "operators": [{"name": "vatu", "token_sha256": DIGEST}],
    }


def declarations():
    return [
        {"kind": "stage", "name": "encode", "spec": {}},
        {"kind": "model", "name": "m", "spec": {"version": "1"}},
        {"kind": "stage", "name": "generate", "spec": {"model": "m"}},
        {
            "kind": "pipeline",
            "name": "plan",
            "spec": {"stages": ["encode", "generate"], "deadline_ms": 5000},
        },
        {
            "kind": "organisation",
            "name": "shop",
            "spec": {"key_sha256": [DIGEST], "pipelines": ["plan"]},
        },
    ]


def put(*path, value):
    def modify(document):
        for part in path[:-1]:
            document = document[part]
        document[path[-1]] = value

    return modify


def remove(*path):
    def modify(document):
        for part in path[:-1]:
            document = document[part]
        del document[path[-1]]

    return modify


# Each fault is a function that modifies a valid document, with the path and a
# part of the message of the single finding. The faults of one list modify
# different members, so they can be combined.
ENTRY_FAULTS = [
    (put("caller_addres", value="x"), "caller_addres", '"caller_address"?'),
    (put("drain_timeout_s", value=5), "drain_timeout_s", "drain_timeout_ms"),
    (put("callers", "body_timeout_ms", value="5s"), "callers.body_timeout_ms", "5s"),
    (put("callers", "workers", value=True), "callers.workers", "whole number"),
    (put("control_addresses", value=["c1:1"]), "control_addresses[0]", "IP number"),
    (put("zone_peer_addresses", 0, value=PEER), "zone_peer_addresses[0]", "already"),
    (put("operator_address", value=CALLER), "operator_address", "already used"),
    (put("observability", "log_level", value=1), "observability.log_level", "one"),
    (remove("zone"), "zone", "missing"),
]  # fmt: skip
CONTROL_FAULTS = [
    (put("members", 0, "member_id", value="c9"), "member_id", "not among"),
    (put("members", 2, "peer_address", value=PEER_2), "members[2].peer_address", "[1]"),
    (put("election_timeout_ms", value=300), "election_timeout_ms", "3 heartbeats"),
    (put("replaces", value="c3"), "replaces", "join_addresses"),
    (put("operators", value=[]), "operators", "one"),
    (put("change_id_retention", value=5), "change_id_retention", "seconds"),
    (put("data_folder", value=7), "data_folder", "expected a path"),
    (put("operator_address", value="127.0.0.1:0"), "operator_address", "port 0"),
]  # fmt: skip
DECLARATION_FAULTS = [
    (put(0, "name", value="Encode"), "[0].name", "lower-case"),
    (put(1, "spec", "versoin", value="2"), "[1].spec.versoin", '"version"?'),
    (put(2, "spec", "streams", value="yes"), "[2].spec.streams", "true or false"),
    (put(3, "spec", "stages", 1, value="r"), "[3].spec.stages[1]", "stage/r is not"),
    (put(3, "spec", "deadline_ms", value="5s"), "[3].spec.deadline_ms", "quotes"),
    (remove(4, "spec", "key_sha256"), "[4].spec.key_sha256", "missing"),
    (put(4, "spec", "pipelines", 0, value="p"), "[4].spec.pipelines[0]", "is not"),
]  # fmt: skip
CASES = [
    (entry_settings, ENTRY_FAULTS),
    (control_settings, CONTROL_FAULTS),
    (declarations, DECLARATION_FAULTS),
]


class TestCheck:
    @pytest.mark.parametrize("make", [entry_settings, control_settings, declarations])
    def test_valid_files_have_no_findings(self, make, tmp_path):
        path = tmp_path / "f.json"
        path.write_text(json.dumps(make()))
        assert check_files([path]) == ()

    @pytest.mark.parametrize(("make", "faults"), CASES)
    def test_reports_every_fault_of_any_combination(self, make, faults, tmp_path):
        path = tmp_path / "f.json"

        @given(st.sets(st.sampled_from(range(len(faults))), min_size=1))
        def run(fault_indexes):
            document = make()
            for index in fault_indexes:
                faults[index][0](document)
            path.write_text(json.dumps(document, indent=1))
            found = {f.path: f for f in check_files([path])}
            for index in fault_indexes:
                _, faulty_path, message = faults[index]
                assert message in found[faulty_path].message
                assert found[faulty_path].line >= 1
            expected_paths = {faults[index][1] for index in fault_indexes}
            # Renaming a stage leaves a dangling reference to its old name.
            assert set(found) - expected_paths <= {"[3].spec.stages[0]"}

        run()

    def test_finding_has_location_of_faulty_member(self, tmp_path):
        path = tmp_path / "f.json"
        path.write_text(
            '// deadlines\n{"kind": "pipeline", "name": "p",\n'
            ' "spec": {"stages": ["s"], "deadline_ms": "5s"}}\n'
        )
        assert [str(finding) for finding in check_files([path])] == [
            f"{path}:3:22: spec.stages[0]: stage/s is not declared",
            f"{path}:3:43: spec.deadline_ms: write a plain number of milliseconds,"
            ' without quotes or unit, not "5s"',
        ]

    def test_reports_duplicate_name_across_files(self, tmp_path):
        for name in ("a.json", "b.json"):
            (tmp_path / name).write_text(json.dumps(declarations()[0]))
        (finding,) = check_files([tmp_path])
        assert finding.file.endswith("b.json")
        assert f"already declared at {tmp_path / 'a.json'}:1" in finding.message

    def test_reports_second_policy_across_files(self, tmp_path):
        for name in ("a", "b"):
            policy = {"kind": "policy", "name": name, "spec": {}}
            (tmp_path / f"{name}.json").write_text(json.dumps(policy))
        (finding,) = check_files([tmp_path])
        assert finding.file.endswith("b.json")
        assert finding.message == "policy/a is declared; one policy is expected"


class TestExamples:
    @pytest.mark.parametrize("operator", ["vatu", "tornos"])
    def test_examples_are_valid_and_hold_all_demo_keys(self, operator):
        folder = Path(__file__).parents[3] / "examples" / operator
        assert check_files([folder]) == ()
        declared = read_declarations([folder])
        digests = {
            digest: declaration.key.name
            for declaration in declared.declarations
            for digest in list_key_digests(declaration.spec)
        }
        assert len(digests) == 5
        for digest, name in digests.items():
            assert digest == hashlib.sha256(f"demo-key-{name}".encode()).hexdigest()


class TestDaemonSettings:
    def test_relative_paths_are_resolved_from_folder_of_file(self, tmp_path):
        entry, control = tmp_path / "entry.json", tmp_path / "control.json"
        entry.write_text(json.dumps(entry_settings()))
        control.write_text(json.dumps(control_settings()))
        settings = read_entry_settings(entry)
        assert settings.observability.trace_file == tmp_path / "traces.jsonl"
        assert settings.callers.workers == 8
        assert read_control_settings(control).data_folder == tmp_path / "data"

    def test_rejects_file_of_other_role(self, tmp_path):
        path = tmp_path / "entry.json"
        path.write_text(json.dumps(entry_settings()))
        with pytest.raises(CheckFailedError, match='expected "role": "control"'):
            read_control_settings(path)

    def test_missing_file_is_reported(self, tmp_path):
        with pytest.raises(CheckFailedError, match="can't read the file"):
            read_entry_settings(tmp_path / "none.json")
