"""A test client for the decisions on calls to discovery, in simulated time: a watch and the reads beside it."""

from __future__ import annotations

from beaconhinge.membership.call_retries import CallFailure
from beaconhinge.membership.discovery_call import AnswerDecision, DiscoveryCall, ReceivedAnswer
from beaconhinge.membership.discovery_watch import DiscoveryWatch
from beaconhinge.membership.inventory import WorkerList, WorkerListParser
from beaconhinge.membership.list_reads import ListReads
from beaconhinge.membership.list_state import ListState


def worker_list(version: int, *entries: object, full: bool = False) -> WorkerList:
    """Return a list as parsed from an answer of discovery."""
    return WorkerListParser(["a"], ["k"]).parse({"version": version, "full": full, "servers": list(entries)})


class ListClient:
    """The calls of one dispatcher. Time advances only where a test sets `now`."""

    def __init__(
        self, version: int | None, pushed: bool, size: int, max_age_s: float, jitter: float = 0.5
    ) -> None:
        self.now = 0.0
        self.jitter = jitter
        self.state = ListState(pushed, size, version, self.now, jitter)
        self.state.entry_count = 100
        self.watch = DiscoveryWatch(self.state, size, max_age_s)
        self.reads = ListReads(self.state, size, max_age_s)
        self._watch_call: DiscoveryCall | None = None

    def call(self) -> DiscoveryCall:
        """Return the next call of the watch."""
        self._watch_call = self.watch.next_call(self.now)
        return self._watch_call

    def read_due_in_s(self) -> float:
        """Return the seconds until the next read beside the watch is due."""
        return self.reads.seconds_until_call(self.now)

    def read(self) -> DiscoveryCall | None:
        """Return the read that is due now beside the watch; None if none is due."""
        due = self.watch.watching and self.read_due_in_s() <= 0
        return self.reads.next_call() if due else None

    def due_read(self) -> DiscoveryCall:
        """Return the read that is due now beside the watch; fail if none is due."""
        read = self.read()
        assert read is not None
        return read

    def take(
        self, call: DiscoveryCall, answer: WorkerList, elapsed_s: float, differs: bool = True
    ) -> AnswerDecision:
        """Return the decision on an answer.

        Args:
            call: The call that was answered.
            answer: The list in the answer.
            elapsed_s: Seconds from the call to the answer.
            differs: Whether applying the list would change the known workers.
        """
        decider = self.watch if call is self._watch_call else self.reads
        return decider.handle_answer(ReceivedAnswer(call, answer, elapsed_s, self.now, self.jitter, differs))

    def fail(self, silent: bool, jitter: float, refused: bool = False, begun: bool = False) -> float:
        """Report that the watch's last call failed, and return the seconds until the next one."""
        assert self._watch_call is not None
        failure = CallFailure(silent, begun, refused)
        return self.watch.handle_failure(self._watch_call, failure, self.now, jitter)

    def fail_read(self, call: DiscoveryCall, silent: bool = True, refused: bool = False) -> None:
        """Report that a read failed."""
        self.reads.handle_failure(call, CallFailure(silent, False, refused), self.now, self.jitter)


def watching(
    version: int = 5, pushed: bool = False, size: int = 200, max_age_s: float = 10.0, jitter: float = 0.5
) -> ListClient:
    """Return a client that has caught up with `version` and is about to watch."""
    client = ListClient(version, pushed, size, max_age_s, jitter)
    call = client.call()
    assert call.wait_s == 0
    client.take(call, worker_list(version), 0.01, differs=False)
    return client
