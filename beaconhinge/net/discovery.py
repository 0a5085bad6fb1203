"""The client of discovery: watches the endpoint list, reads it beside the watch, and applies what comes.

`membership/discovery_watch.py` and `membership/list_reads.py` decide on the calls, `membership/list_state.py`
on their answers. `discovery_calls.py` makes the calls, `list_updates.py` has lists applied,
`list_availability.py` tells whether the list may be acted on.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from ..config import Address, Config
from ..dispatch.policy_runner import PolicyRunner
from ..membership.discovery_watch import DiscoveryWatch
from ..membership.inventory import WorkerList, WorkerListParser
from ..membership.list_reads import ListReads
from ..membership.list_state import ListState
from ..policy import interface
from ..policy.interface import UpdateKind
from ..runtime.metrics import Metrics
from ..runtime.timer_wheel import TimerWheel
from .discovery_calls import DiscoveryCalls
from .list_applier import ListApplier
from .list_availability import ListAvailability
from .list_updates import ListUpdates
from .worker_pool import WorkerPool

# The window of the first calls of a group that starts at once, for each member, and its maximum. None of them
# serves before it has its list.
START_SPREAD_PER_DISPATCHER_S = 0.01
START_SPREAD_MAX_S = 3.0
# The time between signs that this process runs.
RUN_CHECK_S = 0.15


class Discovery:
    """Keeps the endpoint list of this process up to date.

    Attributes:
        state: Which version of the list is known.
        watch: Decides on the watches, and on the calls that lead back to them.
        reads: Decides on the reads beside the watch.
        updates: Has lists applied.
        availability: Whether the list may be acted on.
        calls: Makes them.
    """

    def __init__(
        self,
        config: Config,
        policy_runner: PolicyRunner,
        workers: WorkerPool,
        timers: TimerWheel,
        metrics: Metrics,
        wall_clock: Callable[[], float],
    ) -> None:
        self.config = config
        self.policy_runner = policy_runner
        self.timers = timers
        self.metrics = metrics
        settings = config.settings
        pushed = not settings.membership_on_request
        group_size, max_age_s = settings.group_size, settings.membership_max_age_s
        self._random = random.Random(config.seed)  # of its own: the policy's draws stay as they are
        self._bootstrap_list = config.bootstrap_list or WorkerList()
        version = _complete_version(config.bootstrap_list)
        self.state = ListState(pushed, group_size, version, timers.now(), self._random.random())
        self.watch = DiscoveryWatch(self.state, group_size, max_age_s)
        self.reads = ListReads(self.state, group_size, max_age_s)
        self.list_parser = WorkerListParser(
            config.zones, config.kinds, lambda why: metrics.count_and_log("list_entry_malformed", why=why)
        )
        self.availability = ListAvailability(pushed, timers, metrics, self._handle_process_pause)
        self._applier = ListApplier(policy_runner, workers, timers, metrics, wall_clock)
        self.updates = ListUpdates(
            self.state,
            self.list_parser,
            self._applier,
            self.availability,
            policy_runner,
            workers,
            timers,
            metrics,
            self._random,
        )
        self.calls = DiscoveryCalls(
            config.discovery, self.watch, self.reads, self.updates, timers, metrics, self._random
        )
        policy_runner.action_handlers[interface.SubscribeMembership] = self._subscribe
        policy_runner.action_handlers[interface.FetchMembership] = lambda _action: self._fetch_snapshot()
        policy_runner.on_event_failed = self._handle_event_failure
        workers.list_usable = lambda: self.list_usable
        workers.wait_until_list_usable = self.availability.wait_until_usable
        timers.after(RUN_CHECK_S, self._check)

    @property
    def list_usable(self) -> bool:
        """Whether the list may be acted on, as far as is known this moment."""
        return self.availability.usable

    @property
    def address(self) -> Address:
        """Where discovery is called."""
        return self.calls.address

    @property
    def version(self) -> int | None:
        """The version of the applied list; None if none is known."""
        return self.state.version

    # ---- start, another discovery, another list ----------------------------------------------------------

    def start_from_bootstrap(self) -> None:
        """Apply the configured or inherited list, however old, and call discovery.

        Nothing is sent by that list before discovery has been called, which is done here: the policy asks
        later where many dispatchers start.
        """
        self.updates.apply(UpdateKind.BOOTSTRAP, self._bootstrap_list)
        spread_s = min(START_SPREAD_PER_DISPATCHER_S * self.config.settings.group_size, START_SPREAD_MAX_S)
        pause_s = 0.0 if self.state.pushed else spread_s * self._random.random()
        self.calls.restart("start", pause_s)

    def take_over_list(self, worker_list: WorkerList, same_discovery: bool) -> None:
        """Take the list of the process that this one replaces as the bootstrap list.

        Args:
            worker_list: The other process's list.
            same_discovery: Whether it came from the discovery that this process calls; versions count for one
                discovery alone.
        """
        if same_discovery and self.version is not None and self.version > worker_list.version:
            return
        version = _complete_version(worker_list) if same_discovery else None
        self.state.restart(version, self.timers.now(), self._random.random())
        self.watch.restart()
        self.reads.restart()
        self._bootstrap_list = worker_list

    def switch_to(self, address: Address) -> None:
        """Call another discovery from now on.

        Its versions count by themselves, so that the snapshot is asked for. A call to the old address is
        cancelled, lest its answer be taken for one of the new discovery.
        """
        if address == self.address:
            return
        started = self.calls.started
        self.calls.stop("other_discovery")  # what the old one has written counts by its own versions
        self.calls.switch_to(address)
        pause_s = self.watch.switch_discovery(self.timers.now(), self._random.random())
        self.reads.restart()
        if started:  # the policy would ask again only when the old watch had failed
            self.calls.restart("other_discovery", pause_s)

    # ---- what others want ----------------------------------------------------------------------------------

    async def refresh(self) -> None:
        """Fetch what has changed at once; returns when that has been applied, or has failed."""
        self.calls.call_ended.clear()
        self._catch_up("refresh")
        await self.calls.call_ended.wait()

    def _subscribe(self, action: interface.SubscribeMembership) -> None:
        if self.calls.started and not action.enabled:
            self.calls.stop("unsubscribed")
        elif action.enabled and not self.calls.running:
            self.calls.restart("subscribed")

    def _fetch_snapshot(self) -> None:
        self.state.request_snapshot(self.timers.now())
        if self.watch.watching:
            self.calls.read_wanted.set()
        else:
            self.calls.restart("snapshot_wanted")

    def _check(self) -> None:
        self.timers.after(RUN_CHECK_S, self._check)
        self._applier.observe_clocks()
        self.availability.update()

    def _handle_process_pause(self) -> None:
        """Call discovery at once, whatever call is out: what was announced meanwhile is not known."""
        self.metrics.count("lists_refreshed_after_stall")
        if self.calls.started:
            self._catch_up("process_paused")

    def _handle_event_failure(self, event: interface.Event) -> None:
        """The policy failed on an event: if that was a list, it may hold another one than is known here."""
        if isinstance(event, interface.MembershipUpdate):
            self.state.verification.handle_doubt(self.timers.now())
            self.calls.read_wanted.set()

    def _catch_up(self, why: str) -> None:
        """Read what was missed at once. A watch that is open stays so: it may still tell what comes next."""
        watch_is_open = self.watch.watching and self.calls.started
        if watch_is_open and self.reads.can_catch_up(self.timers.now()):
            self.reads.catch_up()
            self.calls.restart_reads(why)
        else:
            self.calls.restart(why)


def _complete_version(worker_list: WorkerList | None) -> int | None:
    """The version of a list whose content is complete; None if some entries could not be parsed."""
    if worker_list is None or worker_list.unparsed_ids:
        return None
    return worker_list.version
