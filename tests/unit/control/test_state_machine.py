"""Two replicas under random commands, restores and watch events."""

import os

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from galenadrum._internal.declarations.references import check_references
from galenadrum._internal.entry.declarations import Applied, DeclarationsView
from galenadrum._internal.protocol.claims_pb2 import (
    CLAIM_STATE_COMPLETED,
    CLAIM_STATE_RELEASED,
    CLAIM_STATE_UNKNOWN,
)
from galenadrum._internal.protocol.commands_pb2 import Change, ChangeResult, Command
from lib.control_commands import (
    KEY_DIGESTS,
    RETENTION_MS,
    Replica,
    batch,
    change_set,
    claim,
    delete,
    outcome,
    put,
)

EXAMPLES = int(os.environ.get("GALENADRUM_EXAMPLES", "40"))
_NAMES = st.sampled_from(["a", "b"])
_STAGES = st.lists(_NAMES, min_size=1, max_size=2, unique=True)
_DIGESTS = st.lists(
    st.sampled_from(KEY_DIGESTS[:3]), min_size=1, max_size=2, unique=True
)
_PUTS = st.one_of(
    st.tuples(
        st.just("stage"), st.fixed_dictionaries({"expected_service_ms": st.just(1)})
    ),
    st.tuples(
        st.just("stage"),
        st.fixed_dictionaries({"model": _NAMES, "streams": st.just(True)}),
    ),
    st.tuples(st.just("model"), st.fixed_dictionaries({"version": _NAMES})),
    st.tuples(
        st.just("pipeline"),
        st.fixed_dictionaries({"stages": _STAGES, "deadline_ms": st.just(9)}),
    ),
    st.tuples(
        st.just("organisation"),
        st.fixed_dictionaries({"key_sha256": _DIGESTS, "pipelines": _STAGES}),
    ),
)
_BASES = st.sampled_from(["any", "current", "behind", "absent"])


class ControlStateMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.replicas = [Replica(max_deletions=4), Replica(max_deletions=4)]
        self.time_ms = 0
        self.sent = []
        self.views = [DeclarationsView(2), DeclarationsView(2)]
        self.resources_by_revision = {0: ()}

    @property
    def state(self):
        return self.replicas[0].state

    def send(self, body):
        first, second = [replica.send(body, self.time_ms) for replica in self.replicas]
        assert first == second
        return first

    def choose_base_revision(self, kind, name, choice):
        existing_revisions = [
            item.revision
            for item in self.state.resources()
            if (item.key.kind, item.key.name) == (kind, name)
        ]
        current = existing_revisions[0] if existing_revisions else 0
        return {"any": None, "current": current, "behind": max(0, current - 1)}.get(
            choice, 0
        )

    @rule(
        operator=st.sampled_from(["vatu", "tornos"]),
        changes=st.lists(
            st.tuples(st.booleans(), _PUTS, _NAMES, _BASES), min_size=1, max_size=3
        ),
    )
    def change(self, operator, changes):
        parts = []
        for is_put, (kind, spec), name, choice in changes:
            base_revision = self.choose_base_revision(kind, name, choice)
            if is_put:
                parts.append(put(kind, name, spec, base_revision))
            else:
                parts.append(delete(kind, name, base_revision))
        body = change_set(operator, f"id{len(self.sent)}", *parts)
        self.sent.append(body)
        before, resources = self.state.revision, self.state.resources()
        result = self.send(body)
        assert not result.repeated
        if result.status != ChangeResult.ACCEPTED:
            assert self.state.resources() == resources
        assert self.state.revision - before in (0, 1)
        self.resources_by_revision[self.state.revision] = self.state.resources()

    @rule(data=st.data(), spec_json=st.binary(max_size=20))
    def apply_malformed(self, data, spec_json):
        change = Change(action=1, kind="stage", name="a", spec_json=spec_json)
        self.sent.append(change_set("vatu", f"id{len(self.sent)}", change))
        self.send(self.sent[-1])
        self.resources_by_revision[self.state.revision] = self.state.resources()
        command_bytes = data.draw(
            st.binary(max_size=10) | st.just(Command().SerializeToString())
        )
        first, second = [
            replica.state.apply(replica.state.applied_index + 1, command_bytes)
            for replica in self.replicas
        ]
        assert first == second

    @rule(data=st.data())
    def resend(self, data):
        if self.sent:
            before = self.state.revision
            result = self.send(data.draw(st.sampled_from(self.sent)))
            assert result.repeated
            assert self.state.revision == before

    @rule(
        request=st.sampled_from(["r1", "r2", "r3"]), body=st.sampled_from([b"f", b"g"])
    )
    def claim(self, request, body):
        self.send(claim(request, fingerprint=body * 32))

    @rule(
        request=st.sampled_from(["r1", "r2", "r3"]),
        state=st.sampled_from(
            [CLAIM_STATE_COMPLETED, CLAIM_STATE_UNKNOWN, CLAIM_STATE_RELEASED]
        ),
    )
    def record(self, request, state):
        self.send(outcome(request, state, request.encode()))

    @rule(
        requests=st.lists(st.sampled_from(["r1", "r2", "r3"]), max_size=4),
        state=st.sampled_from([0, CLAIM_STATE_COMPLETED, CLAIM_STATE_RELEASED]),
    )
    def claim_batch(self, requests, state):
        bodies = [
            outcome(request, state, request.encode()) if state else claim(request)
            for request in requests
        ]
        unbatched = self.replicas[0].restore_copy()
        answers = self.send(batch(*bodies)).answers
        for body, answer in zip(bodies, answers, strict=True):
            expected = unbatched.send(body, self.time_ms)
            assert getattr(answer, answer.WhichOneof("body")) == expected

    @rule(step_ms=st.sampled_from([-500, 1, 2_000, RETENTION_MS // 10]))
    def advance_time(self, step_ms):
        # Stays within the retention time, so that every resend must be recognised.
        self.time_ms = min(max(0, self.time_ms + step_ms), RETENTION_MS - 1)

    @rule()
    def restore_replica(self):
        self.replicas[1] = self.replicas[1].restore_copy()

    @rule(index=st.sampled_from([0, 1]), source=st.sampled_from(["control", "relay"]))
    def watch(self, index, source):
        view = self.views[index]
        provider = self.replicas[1].state if source == "control" else self.views[0]
        event = provider.build_event_after(view.revision)
        result = view.apply_event(event)
        behind = event.revision > view.revision
        assert not behind
        if isinstance(result, Applied):
            assert view.revision == provider.revision

    @invariant()
    def replicas_are_equal(self):
        snapshots = [replica.state.snapshot() for replica in self.replicas]
        assert snapshots[0] == snapshots[1]

    @invariant()
    def references_are_valid(self):
        assert check_references(self.state.resources()) == ()

    @invariant()
    def views_match_the_resources_at_their_revision(self):
        for view in self.views:
            specs = {
                (item.key.kind, item.key.name): item.spec
                for item in self.resources_by_revision[view.revision]
            }
            held = {
                (kind, name): spec
                for kind, lookup in (
                    ("stage", view.stages_by_name),
                    ("pipeline", view.pipelines_by_name),
                    ("organisation", view.organisations_by_name),
                    ("model", view.models_by_name),
                )
                for name, spec in lookup.items()
            }
            assert held == specs
            for name, spec in view.organisations_by_name.items():
                for digest in spec.key_sha256:
                    assert view.organisation_by_key_digest(digest) == (name, spec)


ControlStateMachine.TestCase.settings = settings(
    max_examples=EXAMPLES, stateful_step_count=40
)
TestControlStateMachine = ControlStateMachine.TestCase
