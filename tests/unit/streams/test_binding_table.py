"""Bindings of streams to the software version that began them."""

from dataclasses import replace

from galenadrum._internal.models.stream_bindings import StreamBinding
from galenadrum._internal.streams import binding_table
from galenadrum._internal.streams.binding_table import BindingTable

BINDING = StreamBinding("r1", "t1", "llm", "v1", "s1", 100.0, 110.0)


def table_with(*bindings):
    table = BindingTable()
    for binding in bindings:
        table.put(binding)
    return table


class TestBindingTable:
    def test_binding_is_found_until_it_expires(self):
        table = table_with(BINDING)
        assert table.find("t1", "r1", 109.9) == BINDING
        assert table.find("t1", "r1", 110.0) is None
        table.remove_expired(110.0)
        assert len(table) == 0

    def test_request_of_another_organisation_is_unknown(self):
        assert table_with(BINDING).find("t2", "r1", 101.0) is None

    def test_second_binding_of_the_same_version_extends_the_first(self):
        table = table_with(BINDING)
        assert not table.put(replace(BINDING, server_id="s2", expires_at=120.0))
        found = table.find("t1", "r1", 115.0)
        assert found.server_id == "s1"
        assert not found.is_ambiguous

    def test_request_id_used_for_two_versions_is_ambiguous(self):
        table = table_with(BINDING)
        assert table.put(replace(BINDING, software_version="v2"))
        assert table.find("t1", "r1", 101.0).is_ambiguous
        assert not table.put(BINDING)
        assert table.find("t1", "r1", 101.0).is_ambiguous

    def test_recent_bindings_of_a_server_reborn_at_another_version_are_ambiguous(self):
        old = replace(BINDING, request_id="r0", bound_at=90.0)
        table = table_with(old, BINDING)
        assert [b.request_id for b in table.distrust_server("s1", 101.0)] == ["r1"]
        assert table.find("t1", "r1", 102.0).is_ambiguous
        assert not table.find("t1", "r0", 102.0).is_ambiguous

    def test_oldest_are_dropped_beyond_the_limit(self, monkeypatch):
        monkeypatch.setattr(binding_table, "_MAX_BINDINGS", 2)
        table = table_with(*(replace(BINDING, request_id=f"r{n}") for n in range(3)))
        assert len(table) == 2
        assert table.find("t1", "r0", 101.0) is None
