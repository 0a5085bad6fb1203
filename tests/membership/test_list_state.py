"""A watch and a read in progress at the same time, with their answers in every order."""

from __future__ import annotations

import itertools
import random

import pytest
from list_client import ListClient, watching, worker_list

from beaconhinge.membership.discovery_call import CALL_SPACING_S, DiscoveryCall, PassedOver
from beaconhinge.membership.inventory import WorkerList
from beaconhinge.policy.interface import UpdateKind, WorkerState

READY, DRAINING = "Ready", "Terminating"
# The workers and their states in each version of discovery's list. s-1 drains and becomes ready again, s-2 is
# removed, s-3 is added.
HISTORY: dict[int, dict[str, str]] = {
    5: {"s-1": READY, "s-2": READY},
    6: {"s-1": DRAINING, "s-2": READY},
    7: {"s-1": DRAINING, "s-3": READY},
    8: {"s-1": READY, "s-3": READY},
}
NEWEST = max(HISTORY)


def entry(name: str, state: str) -> dict[str, object]:
    return {"id": name, "addr": "127.0.0.1:9", "state": state}


def answer(call: DiscoveryCall, version: int) -> WorkerList:
    """Return discovery's answer when its list has this version: the changes to a watch, the snapshot to a read."""
    current = HISTORY[version]
    if call.index is None:
        return worker_list(version, *(entry(*item) for item in current.items()), full=True)
    before = HISTORY[call.index]
    changed = [entry(name, state) for name, state in current.items() if before.get(name) != state]
    gone = [entry(name, "Gone") for name in before if name not in current]
    return worker_list(version, *changed, *gone)


class ApplyingClient(ListClient):
    """A client that applies the answers as it decides, and keeps the resulting list."""

    def __init__(self) -> None:
        super().__init__(5, pushed=False, size=6, max_age_s=10.0)
        self.applied = dict(HISTORY[5])
        call = self.call()
        self.take(call, answer(call, 5), 0.01, differs=False)

    def receive(self, call: DiscoveryCall, version: int, elapsed_s: float) -> None:
        """Receive the answer to a call when discovery's list has this version, and apply it if so decided."""
        received = answer(call, version)
        states = {
            endpoint.id: READY if endpoint.member.state is WorkerState.READY else DRAINING
            for endpoint in received.endpoints
            if endpoint.member.state is not WorkerState.GONE
        }
        gone = {e.id for e in received.endpoints if e.member.state is WorkerState.GONE}
        if received.is_snapshot:
            updated = states
        else:
            updated = {name: s for name, s in {**self.applied, **states}.items() if name not in gone}
        decision = self.take(call, received, elapsed_s, differs=updated != self.applied)
        if decision.update_kind is not None:
            self.applied = updated

    def catch_up(self, version: int) -> None:
        """Make all reads that are due, while discovery's list has this version."""
        self.now += CALL_SPACING_S
        while self.state.snapshot_needed:
            self.receive(self.due_read(), version, 0.1)
            self.now += CALL_SPACING_S


@pytest.mark.parametrize("read_first", [False, True])
@pytest.mark.parametrize(("watched", "read"), list(itertools.product(HISTORY, HISTORY)))
def test_newer_of_two_answers_is_applied_in_either_order(watched: int, read: int, read_first: bool) -> None:
    """An older answer that arrives last must not undo the newer one."""
    client = ApplyingClient()
    client.state.request_snapshot(client.now)
    watch_call, read_call = client.call(), client.due_read()
    if read_first:
        client.receive(read_call, read, 0.65)
        client.receive(watch_call, watched, watch_call.wait_s)
    else:
        client.receive(watch_call, watched, watch_call.wait_s)
        client.receive(read_call, read, 0.65)
    newest = max(watched, read)
    assert client.call().index == newest
    client.catch_up(newest)
    assert client.state.version == newest
    assert client.applied == HISTORY[newest]


def test_changes_since_an_older_version_cause_a_snapshot_at_once() -> None:
    """A state that changed and changed back after that older version is missing in the changes."""
    client = ApplyingClient()
    client.state.request_snapshot(client.now)
    watch, read = client.call(), client.due_read()
    client.receive(read, 7, 0.65)
    client.receive(watch, 8, watch.wait_s)
    assert client.applied != HISTORY[8]
    client.now += CALL_SPACING_S
    client.receive(client.due_read(), 8, 0.65)
    assert client.applied == HISTORY[8]


def test_overtaken_read_confirms_nothing_and_is_made_again() -> None:
    client = watching(size=6)
    client.state.request_snapshot(client.now)
    watch, read = client.call(), client.due_read()
    client.take(watch, worker_list(6, entry("s-1", DRAINING)), 1.0)
    decision = client.take(read, worker_list(5, entry("s-1", READY), full=True), 0.65)
    assert decision.update_kind is None
    assert decision.keep_connection
    assert decision.passed_over is PassedOver.OVERTAKEN
    assert client.state.verification.confirmed_version != 6
    client.now += CALL_SPACING_S
    assert client.due_read().index is None


def test_watch_continues_from_a_version_whose_content_is_missing() -> None:
    """A watch with the applied version as its index would be answered at once, again and again, until the snapshot
    has been read.
    """
    client = watching(size=6)
    client.take(client.call(), worker_list(6), 1.0)
    watch = client.call()
    assert (watch.index, client.state.version) == (6, 5)
    decision = client.take(watch, worker_list(7, entry("s-1", DRAINING)), 1.0)
    assert decision.update_kind is UpdateKind.CHANGES
    assert not decision.proves_current
    assert (client.call().index, client.state.version) == (7, 5)
    client.now += CALL_SPACING_S
    decision = client.take(client.due_read(), worker_list(7, entry("s-1", DRAINING), full=True), 0.65)
    assert decision.proves_current
    assert (client.call().index, client.state.version) == (7, 7)


@pytest.mark.parametrize("seed", range(200))
def test_any_interleaving_of_watches_and_reads_ends_with_discoverys_list(seed: int) -> None:
    """Each answer holds the list as it was at some time between call and answer; answers arrive in any order."""
    rng, client, current = random.Random(seed), ApplyingClient(), 5
    pending: dict[str, tuple[DiscoveryCall, int]] = {}
    highest_version = 5
    for _ in range(60):
        client.now += 0.1
        current = min(NEWEST, current + (rng.random() < 0.1))
        if "watch" not in pending:
            pending["watch"] = client.call(), current
        if "read" not in pending and rng.random() < 0.4:
            client.state.request_snapshot(client.now)
            client.reads.catch_up()
            pending["read"] = client.due_read(), current
        chain = rng.choice(list(pending))
        call, at_call = pending[chain]
        version = rng.randint(at_call, current)
        if call.is_watch and version == call.index:
            continue  # the watch goes on waiting
        del pending[chain]
        client.receive(call, version, rng.uniform(0.05, 0.65))
        applied_version = client.state.version
        assert applied_version is not None
        assert applied_version >= highest_version
        highest_version = applied_version
        if client.state.complete:
            assert client.applied == HISTORY[applied_version]
    client.catch_up(highest_version := client.state.announced_version or 0)
    assert client.state.complete
    assert client.applied == HISTORY[highest_version]
    assert highest_version >= 6
