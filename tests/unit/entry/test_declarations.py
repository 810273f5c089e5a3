"""Declarations views fed by control and each other over a faulty network."""

import os
import random
from dataclasses import replace

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from galenadrum._internal.declarations.resource_table import split_event
from galenadrum._internal.entry.declarations import (
    Applied,
    DeclarationsView,
    Ignored,
    IgnoredReason,
)
from galenadrum._internal.models.resources import Objective
from galenadrum._internal.protocol.commands_pb2 import ChangeResult
from galenadrum._internal.protocol.declarations_pb2 import WatchEvent
from galenadrum._internal.routing.objectives import get_objective_weights
from lib.control_commands import KEY_DIGESTS, Replica, change_set, delete, put
from lib.policy_driver import make_request

EXAMPLES = int(os.environ.get("GALENADRUM_EXAMPLES", "60"))
_MAX_DELETIONS = 2
_SMALL_PART_BYTES = 120
_VIEW_INDEXES = st.integers(0, 2)


class DeclarationsMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.control = Replica(max_deletions=_MAX_DELETIONS)
        self.views = [DeclarationsView(_MAX_DELETIONS) for _ in range(3)]
        self.highest_revisions = [0, 0, 0]
        self.network = []
        self.specs_by_revision = {0: {}}

    @rule(
        digests_by_name=st.dictionaries(
            st.sampled_from("abcd"),
            st.sampled_from(KEY_DIGESTS[:5]) | st.none(),
            min_size=1,
            max_size=3,
        )
    )
    def change(self, digests_by_name):
        changes = [
            put("organisation", name, {"key_sha256": [digest]})
            if digest
            else delete("organisation", name)
            for name, digest in digests_by_name.items()
        ]
        identity = str(self.control.state.change_id_count)
        self.control.send(change_set("vatu", identity, *changes))
        self.specs_by_revision[self.control.state.revision] = {
            item.key.name: item.spec for item in self.control.state.resources()
        }

    @rule(
        provider=st.integers(0, 3),
        after=st.integers(0, 3) | st.none(),
        size_bytes=st.sampled_from([_SMALL_PART_BYTES, 10_000]),
    )
    def emit(self, provider, after, size_bytes):
        """Answer a watch from control or a view; the parts are delivered separately."""
        source = [self.control.state, *self.views][provider]
        revision = 0 if after is None else [self.control.state, *self.views][after]
        event = source.build_event_after(
            revision if after is None else revision.revision
        )
        self.network += split_event(event, size_bytes)
        del self.network[:-30]

    @rule(receiver=_VIEW_INDEXES, data=st.data())
    def deliver(self, receiver, data):
        """Deliver any sent message; a message may arrive late, repeatedly or never."""
        if self.network:
            index = data.draw(st.integers(0, len(self.network) - 1))
            self.apply_message(receiver, self.network[index])

    @rule(receiver=_VIEW_INDEXES)
    def deliver_all(self, receiver):
        for message in self.network:
            self.apply_message(receiver, message)

    @rule(receiver=_VIEW_INDEXES, provider=st.integers(0, 3))
    def follow(self, receiver, provider):
        """Follow a source over a connection that loses no message."""
        source = [self.control.state, *self.views][provider]
        event = source.build_event_after(self.views[receiver].revision)
        for part in split_event(event, _SMALL_PART_BYTES):
            self.apply_message(receiver, part)
        assert self.views[receiver].revision >= source.revision

    @rule(receiver=_VIEW_INDEXES)
    def restart(self, receiver):
        self.views[receiver] = DeclarationsView(_MAX_DELETIONS)
        self.highest_revisions[receiver] = 0

    def apply_message(self, receiver, message):
        view = self.views[receiver]
        before = view.revision
        result = view.apply_event(message)
        assert (view.revision > before) == isinstance(result, Applied)

    @invariant()
    def no_view_revision_decreases(self):
        for index, view in enumerate(self.views):
            assert view.revision >= self.highest_revisions[index]
            self.highest_revisions[index] = view.revision

    @invariant()
    def each_view_equals_control_at_its_revision(self):
        for view in self.views:
            specs = self.specs_by_revision[view.revision]
            assert view.organisations_by_name == specs
            for name, spec in specs.items():
                digest = spec.key_sha256[0]
                assert view.organisation_by_key_digest(digest) == (name, spec)
            found_organisations = [
                view.organisation_by_key_digest(digest) for digest in KEY_DIGESTS
            ]
            assert len(specs) == sum(item is not None for item in found_organisations)


DeclarationsMachine.TestCase.settings = settings(
    max_examples=EXAMPLES, stateful_step_count=50
)
TestDeclarationsMachine = DeclarationsMachine.TestCase


class TestViewsFollowingEachOther:
    @pytest.mark.parametrize("seed", range(60))
    def test_views_equal_control_at_their_revision_whichever_source_they_follow(
        self, seed
    ):
        rng = random.Random(seed)
        machine = DeclarationsMachine()
        for _ in range(150):
            names = rng.sample("abcd", rng.randint(1, 2))
            digests = [None, KEY_DIGESTS["abcd".index(names[0])]]
            step = rng.random()
            if step < 0.4:
                machine.change({names[0]: rng.choice(digests)})
            elif step < 0.5:
                machine.emit(rng.randrange(4), rng.randrange(4), 10_000)
            elif step < 0.6:
                machine.deliver_all(rng.randrange(3))
            elif step < 0.98:
                provider, receiver = rng.randrange(4), rng.randrange(3)
                upstream = [machine.control.state, *machine.views][provider]
                if upstream.revision >= machine.views[receiver].revision:
                    machine.follow(receiver, provider)
            else:
                machine.restart(rng.randrange(3))
            machine.no_view_revision_decreases()
            machine.each_view_equals_control_at_its_revision()


class TestDeclarationsView:
    def _event(self, revision, **fields):
        return WatchEvent(revision=revision, cluster_id="cluster", **fields)

    def test_events_of_another_cluster_are_ignored(self):
        view = DeclarationsView()
        view.apply_event(self._event(3, snapshot=True))
        other = WatchEvent(revision=9, cluster_id="other", snapshot=True)
        assert view.apply_event(other) == Ignored(IgnoredReason.OTHER_CLUSTER)
        assert view.revision == 3

    def test_an_unreadable_event_leaves_the_view_unchanged(self):
        view = DeclarationsView()
        event = self._event(3, snapshot=True)
        event.changed.add(kind="stage", name="a", spec_json=b'{"later": 1}', revision=3)
        assert view.apply_event(event) == Ignored(IgnoredReason.UNREADABLE)
        assert not view.is_ready

    def test_catches_up_after_500_changes_by_delta_and_by_snapshot(self):
        control = Replica()
        stale_view, new_view = DeclarationsView(), DeclarationsView()
        for number in range(501):
            name = f"s{number % 40}"
            spec = {"expected_service_ms": number + 1}
            result = control.send(
                change_set("vatu", str(number), put("stage", name, spec))
            )
            assert result.status == ChangeResult.ACCEPTED
            if number == 0:
                stale_view.apply_event(control.state.build_event_after(0))
        delta = control.restore_copy().state.build_event_after(stale_view.revision)
        assert not delta.snapshot
        snapshot = control.state.build_event_after(new_view.revision)
        assert snapshot.snapshot
        for view, event in ((stale_view, delta), (new_view, snapshot)):
            assert view.apply_event(event).revision == 501
        assert stale_view.stages_by_name == new_view.stages_by_name
        assert len(new_view.stages_by_name) == 40


class TestObjectives:
    def test_a_pipeline_has_the_objective_of_its_owners_policy(self):
        control = Replica()
        for operator, policy in (("vatu", None), ("tornos", {"objective": "cost"})):
            stage = f"{operator}-stage"
            pipeline = {"stages": [stage], "deadline_ms": 1_000}
            changes = [put("stage", stage, {}), put("pipeline", operator, pipeline)]
            if policy is not None:
                changes.append(put("policy", "p", policy))
            control.send(change_set(operator, operator, *changes))
        view = DeclarationsView()
        view.apply_event(control.state.build_event_after(0))
        objectives = view.build_objectives()
        requests = {
            name: make_request("r", stages=(f"{name}-stage",), pipeline=name)
            for name in ("vatu", "tornos", "unknown")
        }
        weights = {n: objectives.get_request_weights(r) for n, r in requests.items()}
        attainment = get_objective_weights(Objective.ATTAINMENT)
        cost = get_objective_weights(Objective.COST)
        assert weights == {"vatu": attainment, "tornos": cost, "unknown": attainment}
        forwarded = replace(requests["tornos"], pipeline="", forwarded=True)
        assert objectives.get_request_weights(forwarded) == cost
