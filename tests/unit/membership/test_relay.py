import random

from hypothesis import given
from hypothesis import strategies as st

from galenadrum._internal.membership.hosts import (
    ControlReach,
    HostRecord,
    HostTable,
    PeerHost,
)
from galenadrum._internal.membership.relay import (
    RelayRole,
    SourceKind,
    choose_relays,
)

CONTROL = ("10.0.9.1:70",)


class _Zone:
    """Hosts that see each other's records at once and follow their plans."""

    def __init__(self, count, seed=1):
        names = [f"h{i:02}" for i in range(count)]
        self.now = 0.0
        self.tables = {name: HostTable(name, f"{name}:70", 0.0) for name in names}
        self.roles = {
            name: RelayRole(table, "nadi", CONTROL, random.Random(seed))
            for name, table in self.tables.items()
        }
        self.reaching = set(names)
        self.alive = set(names)
        self.revision = 1
        self.control_watches = 0

    def step(self):
        self.now += 0.5
        for name in sorted(self.alive):
            self.tables[name].beat(self.now)
            for other in self.alive - {name}:
                peer_host = PeerHost(self.tables[name].own, 0.0)
                self.tables[other].merge(peer_host, self.now)
                self.tables[other].expire(self.now)
        revisions = {name: self.tables[name].own.revision for name in self.alive}
        self.control_watches = 0
        for name in sorted(self.alive):
            self._follow(name, revisions)

    def _follow(self, name, revisions):
        role, table = self.roles[name], self.tables[name]
        sources = role.plan(self.now).sources
        reached = failed = False
        for source in sources:
            if source.kind is SourceKind.CONTROL:
                reached = name in self.reaching
                failed = not reached
                if reached:
                    self.control_watches += 1
                    table.update(self.now, revision=self.revision)
                    break
            elif source.host_id in self.alive:
                newer = max(table.own.revision, revisions[source.host_id])
                table.update(self.now, revision=newer)
                break
        reach = role.reach_after(reached, failed, self.now)
        if reach is not None:
            table.update(self.now, control=reach)

    def run(self, seconds):
        for _ in range(int(seconds / 0.5)):
            self.step()

    def relays(self):
        return {
            name for name in self.alive if self.roles[name].plan(self.now).confirms_zone
        }

    def revisions(self):
        return {self.tables[name].own.revision for name in self.alive}


class TestRelayChoice:
    def test_one_host_relays_and_keeps_the_role_when_a_lower_one_joins(self):
        zone = _Zone(5)
        zone.alive.discard("h00")
        zone.run(10)
        assert zone.relays() == {"h01"}
        zone.alive.add("h00")
        zone.run(10)
        assert (zone.relays(), zone.control_watches) == ({"h01"}, 1)

    def test_another_host_takes_over_when_the_relay_dies_or_loses_control(self):
        zone = _Zone(28)
        zone.run(10)
        zone.alive.discard("h00")
        zone.run(9)
        assert (len(zone.relays()), zone.control_watches) == (1, 1)
        zone.reaching = {"h27"}
        zone.revision = 2
        zone.run(12)
        assert zone.relays() == {"h27"}
        assert zone.revisions() == {2}

    def test_a_restarted_host_of_a_cut_zone_takes_the_newest_revision(self):
        zone = _Zone(5)
        zone.revision = 7
        zone.run(10)
        zone.reaching = set()
        zone.run(20)
        zone.tables["h03"] = HostTable("h03", "h03:70", zone.now)
        zone.roles["h03"] = RelayRole(
            zone.tables["h03"], "nadi", CONTROL, random.Random(1)
        )
        zone.run(3)
        assert zone.revisions() == {7}
        assert zone.relays() == set()
        zone.reaching = set(zone.alive)
        zone.revision = 8
        zone.run(12)
        assert zone.revisions() == {8}

    @given(
        st.dictionaries(
            st.sampled_from([f"h{i}" for i in range(30)]),
            st.sampled_from(ControlReach),
            min_size=1,
        )
    )
    def test_relays_are_few_and_exist_unless_all_have_failed(self, reach_by_id):
        hosts = [
            HostRecord(name, "a:1", control=reach)
            for name, reach in reach_by_id.items()
        ]
        relays = choose_relays(hosts)
        assert len(relays) <= 8
        failed = all(r is ControlReach.UNREACHED for r in reach_by_id.values())
        assert bool(relays) is not failed
