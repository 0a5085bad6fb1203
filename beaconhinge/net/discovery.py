"""The discovery client: watches the endpoint list, reads it beside the watch, and applies the answers.

`membership/discovery_watch.py` and `membership/list_reads.py` decide which calls to make, and
`membership/list_state.py` decides what to do with their answers. `discovery_calls.py` makes the calls,
`list_updates.py` applies the lists, and `list_availability.py` decides whether the list may be acted on.
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

# Dispatchers of a group that start at once spread their first calls over a window: its length for each
# dispatcher of the group, and its maximum. No dispatcher serves before it has received its list.
START_SPREAD_PER_DISPATCHER_S = 0.01
START_SPREAD_MAX_S = 3.0
# The interval of the check that detects pauses of this process.
PAUSE_CHECK_INTERVAL_S = 0.15


class Discovery:
    """Keeps the endpoint list of this process up to date.

    Attributes:
        state: The version of the applied list, and what must be read from discovery.
        watch: Decides when to watch, and which calls to make before watching again.
        reads: Decides when to read the list beside the watch.
        updates: Applies the lists that discovery answers with.
        availability: Reports whether the list may be acted on.
        calls: Makes the calls to discovery.
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
        # Separate from the policy's generator, so that the policy's random numbers stay the same.
        self._random = random.Random(config.seed)
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
        timers.after(PAUSE_CHECK_INTERVAL_S, self._run_periodic_check)

    @property
    def list_usable(self) -> bool:
        """Whether the list may be acted on now."""
        return self.availability.usable

    @property
    def address(self) -> Address:
        """The address at which discovery is called."""
        return self.calls.address

    @property
    def version(self) -> int | None:
        """The version of the applied list; None if it is unknown."""
        return self.state.version

    # ---- start, change of the discovery address, takeover of a list --------------------------------------

    def start_from_bootstrap(self) -> None:
        """Apply the configured or inherited list, whatever its age, and call discovery.

        No job is sent by that list before discovery has been called. The call is made here because the
        policy subscribes later where many dispatchers start.
        """
        self.updates.apply(UpdateKind.BOOTSTRAP, self._bootstrap_list)
        spread_s = min(START_SPREAD_PER_DISPATCHER_S * self.config.settings.group_size, START_SPREAD_MAX_S)
        pause_s = 0.0 if self.state.pushed else spread_s * self._random.random()
        self.calls.restart("start", pause_s)

    def take_over_list(self, worker_list: WorkerList, same_discovery: bool) -> None:
        """Use the list of the process that this one replaces as the bootstrap list.

        A list older than the one of this process, from the same discovery, is ignored.

        Args:
            worker_list: The list of the replaced process.
            same_discovery: Whether the list came from the discovery that this process calls. Versions of
                different discoveries can't be compared.
        """
        if same_discovery and self.version is not None and self.version > worker_list.version:
            return
        version = _complete_version(worker_list) if same_discovery else None
        self.state.restart(version, self.timers.now(), self._random.random())
        self.watch.restart()
        self.reads.restart()
        self._bootstrap_list = worker_list

    def switch_to(self, address: Address) -> None:
        """Call the discovery at another address from now on.

        Its versions are not comparable with those of the old one, so a snapshot is requested. A call to the
        old address is cancelled, so that its answer isn't taken for one of the new discovery.
        """
        if address == self.address:
            return
        started = self.calls.started
        self.calls.stop("other_discovery")  # reads what the old one wrote, while its versions still apply
        self.calls.switch_to(address)
        pause_s = self.watch.switch_discovery(self.timers.now(), self._random.random())
        self.reads.restart()
        if started:  # the policy would subscribe again only after the old watch has failed
            self.calls.restart("other_discovery", pause_s)

    # ---- requests for lists --------------------------------------------------------------------------------

    async def refresh(self) -> None:
        """Fetch the changes at once, and return when they have been applied or the call has failed."""
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

    def _run_periodic_check(self) -> None:
        self.timers.after(PAUSE_CHECK_INTERVAL_S, self._run_periodic_check)
        self._applier.observe_clocks()
        self.availability.update()

    def _handle_process_pause(self) -> None:
        """Call discovery at once, even if a call is in flight: changes made during the pause were missed."""
        self.metrics.count("lists_refreshed_after_stall")
        if self.calls.started:
            self._catch_up("process_paused")

    def _handle_event_failure(self, event: interface.Event) -> None:
        """Have the list verified if the policy failed on one: its list may now differ from the list here."""
        if isinstance(event, interface.MembershipUpdate):
            self.state.verification.handle_doubt(self.timers.now())
            self.calls.read_wanted.set()

    def _catch_up(self, why: str) -> None:
        """Read missed changes at once. An open watch stays open, since it may still report later changes."""
        watch_is_open = self.watch.watching and self.calls.started
        if watch_is_open and self.reads.can_catch_up(self.timers.now()):
            self.reads.catch_up()
            self.calls.restart_reads(why)
        else:
            self.calls.restart(why)


def _complete_version(worker_list: WorkerList | None) -> int | None:
    """Return the list's version; None if there is no list or some of its entries could not be parsed."""
    if worker_list is None or worker_list.unparsed_ids:
        return None
    return worker_list.version
