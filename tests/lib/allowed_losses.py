"""Explorer of the losses that a group of control hosts must bear.

One disk is lost at a time, and the next one only after a change was acknowledged and
`CATCH_UP_S` have passed since the loss was made good. Between these, members are
killed, frozen, partitioned and lose power, also all at once; that loses no disk. After
each loss a leader must acknowledge a change within `LEADER_BOUND_S`.

Run it by hand with

    PYTHONPATH=src:tests python -m lib.allowed_losses --seeds 1000
"""

import argparse
import collections
import logging
import random
import sys
from dataclasses import replace

from galenadrum._internal.exceptions import InvariantError
from lib.log_simulation import OPTIONS, Simulation, Violation

CATCH_UP_S = 4.0
# Three rounds of at most two election timeouts each, and the wait for newcomers.
LEADER_BOUND_S = 6 * OPTIONS.election_timeout_s + 2.0
JOINING_OPTIONS = replace(OPTIONS, newcomer_wait_s=1.0)


class LossExplorer:
    """One run over a simulated group, all of whose choices come from a seed.

    Attributes:
        losses: Number of losses by kind.
        longest_s: Longest time from a loss until a change was acknowledged.
    """

    def __init__(self, seed):
        self.rng = random.Random(f"losses-{seed}")
        founders = self.rng.choice([3, 3, 5])
        self.simulation = Simulation(
            seed, founders, removes_lost_members=True, options=JOINING_OPTIONS
        )
        self.losses = collections.Counter()
        self.longest_s = 0.0
        self.simulation.run(5)
        self.hosts = list(self.simulation.nodes_by_id.values())
        if self.rng.random() < 0.4:
            self.hosts.append(self.simulation.join())
            self.simulation.run(CATCH_UP_S)
        self.acknowledge("at the start")

    def run(self, steps):
        for _ in range(steps):
            kind = self.rng.choice(_LOSSES)
            self.losses[kind.__name__.strip("_")] += 1
            kind(self, self._choose_victim())
            self._end_faults()
            self.acknowledge(kind.__name__)
            if self.rng.random() < 0.7:
                self.simulation.run(CATCH_UP_S)
                self.acknowledge("after catching up")
        self._check_accepted_changes()

    def acknowledge(self, when):
        """Have a change acknowledged; raise `Violation` if none is in time."""
        started_at = self.simulation.now
        accepted = len(self.simulation.accepted)
        while self.simulation.now < started_at + LEADER_BOUND_S:
            for node in self.simulation.running():
                if node.core.is_leader:
                    self.simulation.propose(node)
                    is_new = len(self.simulation.accepted) > accepted
                    if is_new and self.simulation.is_settled(node):
                        elapsed_s = self.simulation.now - started_at
                        self.longest_s = max(self.longest_s, elapsed_s)
                        return
            self.simulation.run(0.01)
        raise Violation(f"no change was acknowledged {when}")

    def _check_accepted_changes(self):
        leader = next(n for n in self.simulation.running() if n.core.is_leader)
        held = dict(leader.applied)
        lost = [
            pair for pair in self.simulation.accepted if held.get(pair[0]) != pair[1]
        ]
        if lost:
            raise Violation(f"accepted and lost: {lost[:5]}")

    def _choose_victim(self):
        leaders = [n for n in self.hosts if n.core and n.core.is_leader]
        if leaders and self.rng.random() < 0.5:
            return leaders[0]
        return self.rng.choice(self.hosts)

    def replace_host(self, host, newcomer):
        self.hosts[self.hosts.index(host)] = newcomer

    def disturb(self):
        """Apply, or not, a fault that loses no disk, and let it last."""
        fault = self.rng.choice(_FAULTS)
        if fault is not None:
            fault(self)
        self.simulation.run(self.rng.choice([0.0, 0.3, 1.0, 5.0]))

    def _end_faults(self):
        self.simulation.heal()
        for host in self.hosts:
            self.simulation.resume(host)
            self.simulation.start(host)

    def settle_loss(self):
        """Let the time pass in which a loss that was made good still counts."""
        self._end_faults()
        self.simulation.run(CATCH_UP_S)


def _replace_for_good(run, host):
    run.simulation.lose_disk(host)
    run.simulation.run(run.rng.uniform(0.3, 2.0))
    newcomer = run.simulation.join()
    run.replace_host(host, newcomer)
    run.disturb()
    run.settle_loss()


def _replace_as_planned(run, host):
    newcomer = run.simulation.join()
    run.disturb()
    run.settle_loss()
    run.simulation.transfer_leadership(host)
    run.simulation.run(0.3)
    run.simulation.leave(host)
    run.simulation.run(0.3)
    run.simulation.lose_disk(host)
    run.replace_host(host, newcomer)


def _wipe(run, host):
    run.simulation.lose_disk(host)
    run.simulation.run(run.rng.uniform(0.3, 5.0))
    _return_empty(run, host)
    run.disturb()
    run.settle_loss()


def _wipe_while_others_lose_power(run, host):
    run.simulation.lose_disk(host)
    for other in run.hosts:
        run.simulation.crash(other)
    run.simulation.run(run.rng.uniform(0.1, 2.0))
    _return_empty(run, host)
    run.settle_loss()


def _wipe_newcomer(run, host):
    """Replace a host, and wipe its successor before it has caught up."""
    run.simulation.lose_disk(host)
    run.simulation.run(run.rng.uniform(0.3, 1.0))
    newcomer = run.simulation.join()
    run.simulation.run(run.rng.uniform(0.0, 1.0))
    run.simulation.lose_disk(newcomer)
    run.simulation.run(run.rng.uniform(0.3, 3.0))
    run.replace_host(host, newcomer)
    _return_empty(run, newcomer)
    run.settle_loss()


def _return_empty(run, host):
    run.replace_host(host, run.simulation.replace(host))


def _cut_one_way(run):
    host = run.rng.choice(run.hosts)
    others = {n.member_id for n in run.hosts} - {host.member_id}
    pairs = {(host.member_id, other) for other in others}
    if run.rng.random() < 0.5:
        pairs = {pair[::-1] for pair in pairs}
    run.simulation.blocked = pairs


def _split(run):
    ids = [n.member_id for n in run.hosts]
    run.rng.shuffle(ids)
    half = len(ids) // 2
    run.simulation.partition([set(ids[:half]), set(ids[half:])])


def _freeze(run):
    run.simulation.pause(run.rng.choice(run.hosts))


def _kill_all(run):
    power = run.rng.random() < 0.5
    for host in run.hosts:
        run.simulation.crash(host, power)
    run.simulation.run(run.rng.uniform(0.0, 1.0))


def _crash_one(run):
    run.simulation.crash(run.rng.choice(run.hosts))


_LOSSES = (
    _replace_for_good,
    _replace_as_planned,
    _wipe,
    _wipe_while_others_lose_power,
    _wipe_newcomer,
)
_FAULTS = (None, _cut_one_way, _split, _freeze, _kill_all, _crash_one)


def explore(seed, steps=6):
    """Run one seed and return the finished run."""
    explorer = LossExplorer(seed)
    explorer.run(steps)
    return explorer


def main():
    """Run the given seeds; print each that fails, and a summary."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--seeds", type=int, default=100)
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    failed, longest_s, losses = 0, 0.0, collections.Counter()
    for seed in range(options.first, options.first + options.seeds):
        try:
            explorer = explore(seed)
        except (Violation, InvariantError) as error:
            failed += 1
            print(f"seed {seed}: {error}", flush=True)
            continue
        longest_s = max(longest_s, explorer.longest_s)
        losses += explorer.losses
    print(
        f"{options.seeds} seeds, {failed} failed, {losses.total()} losses, "
        f"longest {longest_s:.2f} s: {dict(losses)}"
    )
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
