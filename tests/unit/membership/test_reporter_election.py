from hypothesis import given
from hypothesis import strategies as st

from galenadrum._internal.membership.hosts import ControlReach, HostTable, PeerHost
from galenadrum._internal.membership.reporter_election import elect_reporter


def synchronised_tables(reach_by_id):
    """Return the host tables of a zone, each with the records of all hosts."""
    tables = {name: HostTable(name, f"{name}:70", 0.0) for name in reach_by_id}
    for name, reach in reach_by_id.items():
        tables[name].update(0.0, control=reach)
    for table in tables.values():
        for other in tables.values():
            if other is not table:
                table.merge(PeerHost(other.own, 0.0), 0.0)
    return tables


class TestChooseReporter:
    @given(
        st.dictionaries(
            st.sampled_from([f"h{number:02}" for number in range(28)]),
            st.sampled_from(ControlReach),
            min_size=1,
        )
    )
    def test_synchronised_hosts_choose_one_reporter_that_reaches_control(
        self, reach_by_id
    ):
        tables = synchronised_tables(reach_by_id)
        chosen = {
            elect_reporter(table.list_live_hosts(0.0)) for table in tables.values()
        }
        assert len(chosen) == 1
        [name] = chosen
        reaching_names = [
            n for n, r in reach_by_id.items() if r is ControlReach.REACHED
        ]
        if reaching_names:
            assert name == min(reaching_names)

    def test_host_that_lost_control_is_not_chosen(self):
        reach = {"h1": ControlReach.UNREACHED, "h2": ControlReach.UNKNOWN}
        tables = synchronised_tables(reach)
        assert elect_reporter(tables["h1"].list_live_hosts(0.0)) == "h2"
