"""Connects leases to datagrams, timers, the store, and a port that only one process of a dispatcher binds."""

from __future__ import annotations

import asyncio
import json
import math
import random
import socket
import struct
import time
from collections.abc import Callable, Iterable
from types import TracebackType
from typing import Any

from ..config import Config
from ..config.local import LeaseOptions
from ..errors import Error
from ..leases import holder, node, terms, wire
from ..leases.holder import LeaseAcquired, LeaseEnded
from ..leases.node import Action, LeaseNode
from ..leases.terms import Council, LeaseTerms
from ..leases.votes import SendMessage, WriteNumber
from ..recovery import incarnations
from ..runtime.metrics import Metrics
from ..runtime.timer_wheel import Timer, TimerWheel
from ..store import Put, Store, StoreError
from .peers import PeerSocket

LOCK_RETRY_S = 0.1  # seconds between attempts to bind the port
DISK_TIMEOUT_S = 1.0  # seconds after which a number that is not on the disk counts as not written
COUNCIL_INTERVAL_S = 0.2  # seconds between announcements of a new council, until it is settled
CONTENDERS_PER_SPAN = 25  # dispatchers for each span over which contenders spread their requests
RECORD_PREFIX = b"lease/"
_NUMBER = struct.Struct(">Q")


class LeaseLost(Error):
    """A tenure ended while the body of `async with` was running; the body was cancelled."""


class Tenure:
    """One period in which this process holds a lease, as the body of `async with` gets it.

    Attributes:
        number: Greater than that of every earlier tenure. Sent with each act, so that the receiver can reject
            acts of earlier tenures.
    """

    def __init__(self, leases: LeaseService, lease: _LocalLease, number: int) -> None:
        self.number = number
        self._leases = leases
        self._lease = lease

    @property
    def seconds_left(self) -> float:
        """Seconds until the tenure ends without a renewal; 0 once it is over."""
        tenure = self._leases.current_tenure(self._lease)
        mine = tenure is not None and tenure.number == self.number
        return max(0.0, tenure.end - self._leases.timers.now()) if tenure is not None and mine else 0.0

    def may_act(self, max_duration: float) -> bool:
        """Return whether an act of at most `max_duration` seconds may begin, before the next `await`.

        If so, the lease is not given up, whatever ends the body, until that time is over or `act_done` is
        called.
        """
        tenure = self._leases.current_tenure(self._lease)
        if tenure is None or tenure.number != self.number:
            return False
        now = self._leases.timers.now()
        if not tenure.covers(now, max_duration, self._leases.terms.drift):
            return False
        self._lease.busy_until = now + max_duration
        return True

    def act_done(self) -> None:
        """Report that the act has ended, so that the lease may be given up before the act's longest time."""
        self._lease.busy_until = 0.0


class _LocalLease:
    """The state of one lease in this process.

    Attributes:
        name: The lease's name.
        key: Its key in messages, by `terms.lease_key`.
        body_lock: Held by the one body of `async with` that waits for the lease or has it.
        changed: Set when a tenure begins or ends.
        on_lost: Called when the tenure ends; cancels the body.
        busy_until: Until then an act may be in progress; 0 if none is.
        reacquire_delay: Seconds before the lease is requested again, once it is given up.
        command_until: Until then an operator's command wants the lease.
        command_task: Keeps the lease for an operator's command.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.key = terms.lease_key(name)
        self.body_lock = asyncio.Lock()
        self.changed = asyncio.Event()
        self.on_lost: Callable[[], None] | None = None
        self.busy_until = 0.0
        self.reacquire_delay = 0.0
        self.command_until = 0.0
        self.command_task: asyncio.Task[None] | None = None


class LeaseContext:
    """The context of `async with leases.hold(name) as tenure`; waits for the lease without a time limit.

    When the tenure ends before the body, the body is cancelled and LeaseLost raised. When the body ends
    first, the lease is given up.
    """

    def __init__(self, leases: LeaseService, lease: _LocalLease) -> None:
        self._leases = leases
        self._lease = lease
        self._task: asyncio.Task[Any] | None = None
        self._expired = False

    async def __aenter__(self) -> Tenure:
        lease = self._lease
        await lease.body_lock.acquire()
        try:
            self._leases.want(lease)
            while (held := self._leases.current_tenure(lease)) is None:
                lease.changed.clear()
                await lease.changed.wait()
        except BaseException:
            self._leases.release(lease)
            lease.body_lock.release()
            raise
        self._task = asyncio.current_task()
        lease.on_lost = self._lost
        return Tenure(self._leases, lease, held.number)

    def _lost(self) -> None:
        if self._task is not None and not self._expired:
            self._expired = True
            self._task.cancel()

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self._lease.on_lost = None
        try:
            await self._leases.wait_for_acts(self._lease)
            self._leases.release(self._lease)
        except asyncio.CancelledError:  # the wait itself was cancelled while an act may be in progress
            self._leases.release_later(self._lease)
            raise
        finally:
            self._lease.body_lock.release()
        # A cancellation requested elsewhere at the same moment is not replaced by LeaseLost.
        cancelled_here = self._expired and self._task is not None and self._task.uncancel() == 0
        if cancelled_here and kind is asyncio.CancelledError:
            raise LeaseLost(f"lease {self._lease.name} was lost") from error


class LeaseService:
    """The leases of this process: their datagrams, timers, stored numbers, and the tasks waiting for them.

    Attributes:
        node: The state machine; None until this process has locked the port of its dispatcher, and once
            another process has taken over.
    """

    def __init__(
        self,
        options: LeaseOptions,
        config: Config,
        store: Store | None,
        peers: PeerSocket,
        timers: TimerWheel,
        metrics: Metrics,
        rng: Callable[[], float] = random.random,
    ) -> None:
        self.config = config
        self.store = store
        self.peers = peers
        self.timers = timers
        self.metrics = metrics
        self.random = rng
        self.council, self.terms = self._parse_options(options)
        self.node: LeaseNode | None = None
        self._leases: dict[int, _LocalLease] = {}
        self._port_lock: socket.socket | None = None
        self._timer: Timer | None = None
        self._timer_at = math.inf
        self._leaving = False
        peers.handlers[wire.DATAGRAM_TYPE] = self._receive

    def _parse_options(self, options: LeaseOptions) -> tuple[Council, LeaseTerms]:
        members = frozenset(options.members or range(self.config.settings.group_size))
        return (
            Council(options.number, members, frozenset(options.members_before)),
            LeaseTerms(
                options.span_s,
                options.span_before_s,
                spread=self.config.settings.group_size // CONTENDERS_PER_SPAN,
            ),
        )

    def open(self, inherited: dict[str, Any] | None = None) -> None:
        """Start taking part in leases.

        Args:
            inherited: The state that `hand_over_state` of the other process of this dispatcher returned.
        """
        self.metrics.spawn(self._start_node(inherited), "leases")

    async def _start_node(self, inherited: dict[str, Any] | None) -> None:
        while not self._acquire_port():
            self.metrics.count_and_log("leases_port_taken", port=self.peers.config.peer_listen)
            await asyncio.sleep(LOCK_RETRY_S)
        now = self.timers.now()
        # Wall time in milliseconds: above every number of an earlier incarnation, even if the store's folder
        # was lost.
        floor = round(now * 1000)
        numbers = {lease: max(number, floor) for lease, number in self._stored_numbers()}
        new_node = node.new_node(
            self.config.settings.own_number,
            self.council,
            self.terms,
            now,
            self.random,
            floor,
            self.store is not None,
            numbers,
        )
        if inherited is not None:
            try:
                new_node.take_over(
                    now, max(0.0, time.monotonic() - float(inherited["at"])), inherited["node"]
                )
            except (KeyError, TypeError, ValueError) as error:
                self.metrics.count_and_log("leases_not_inherited", why=f"{type(error).__name__}: {error}")
        self.node = new_node
        self.metrics.log(
            "leases_open",
            members=len(self.council.members),
            number=self.council.number,
            silent_for=max(0.0, new_node.member.silent_until - now),
        )
        self._announce_council()
        for lease in self._leases.values():
            if lease.body_lock.locked():
                self.want(lease)

    def _acquire_port(self) -> bool:
        """Bind the TCP port of the datagram address, which only one process can; return whether it did."""
        address = self.peers.config.peer_listen
        if address is None:
            return len(self.council.members) <= 1
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.bind(address)
        except OSError:
            sock.close()
            return False
        self._port_lock = sock
        return True

    def _stored_numbers(self) -> Iterable[tuple[int, int]]:
        if self.store is None:
            return
        name, number = self.config.name, self.config.settings.own_number
        try:
            for key, data in self.store.scan(RECORD_PREFIX):
                body = incarnations.read_signed_record(data, name, number)
                if body is not None and len(body) == _NUMBER.size:
                    yield int.from_bytes(key[len(RECORD_PREFIX) :], "big"), _NUMBER.unpack(body)[0]
        except StoreError as error:  # the floor from wall time is above all stored numbers
            self.metrics.count_and_log("leases_not_read", why=f"{type(error).__name__}: {error}")

    # ---- interface for other modules of this process -------------------------------------------------------

    def hold(self, name: str) -> LeaseContext:
        """Return a context that holds the lease while its body runs.

        Raises:
            ValueError: The name is not a valid lease name.
        """
        return LeaseContext(self, self.lease(name))

    def lease(self, name: str) -> _LocalLease:
        """Return this process's state of a lease, which is created if need be.

        Raises:
            ValueError: The name is not a valid lease name.
        """
        if not terms.LEASE_NAME.fullmatch(name):
            raise ValueError(f"{name[:50]}: a lease's name has letters, digits and dashes, 40 at most")
        key = terms.lease_key(name)
        if key not in self._leases:
            self._leases[key] = _LocalLease(name)
        return self._leases[key]

    def want(self, lease: _LocalLease) -> None:
        """Have the node acquire the lease and renew it until `release`."""
        if self.node is not None and not self._leaving:
            self._perform(self.node.want(self.timers.now(), lease.key))

    async def wait_for_acts(self, lease: _LocalLease) -> None:
        """Wait until no act under the lease can be in progress.

        Until then the lease is kept, so that no other process gets it. This also runs while the process shuts
        down, when the timer wheel has stopped, so it sleeps by the event loop's clock.
        """
        while (busy_s := self._seconds_busy(lease)) > 0:  # noqa: ASYNC110  # no event marks the end of an act
            await asyncio.sleep(busy_s)

    def _seconds_busy(self, lease: _LocalLease) -> float:
        """Return the seconds for which an act may still be in progress; 0 without a tenure."""
        held = self.current_tenure(lease) is not None
        return max(0.0, lease.busy_until - self.timers.now()) if held else 0.0

    def release_later(self, lease: _LocalLease) -> None:
        """Give the lease up once no act can be in progress."""
        self.timers.at(lease.busy_until, lambda: self.release(lease))

    def release(self, lease: _LocalLease) -> None:
        """Have the node give the lease up."""
        reacquire_delay, lease.reacquire_delay = lease.reacquire_delay, 0.0
        if self.node is not None:
            self._perform(self.node.release(self.timers.now(), lease.key, reacquire_delay))

    def current_tenure(self, lease: _LocalLease) -> holder.Tenure | None:
        """Return the tenure of a lease; None if it is not held.

        Expired tenures are ended first, since the process may have been stopped.
        """
        if self.node is None:
            return None
        self._perform(self.node.advance(self.timers.now()))
        held = self.node.holders.get(lease.key)
        return held.tenure if held is not None else None

    def hand_over(self, lease: _LocalLease) -> bool:
        """Give the lease up so that another dispatcher can acquire it.

        The body is cancelled, and this process does not request the lease again for one span.

        Returns:
            Whether the lease was held here.
        """
        if self.current_tenure(lease) is None:
            return False
        lease.reacquire_delay = self.terms.span
        if lease.on_lost is not None:  # the body's context gives the lease up once no act is in progress
            lease.on_lost()
        else:
            self.release(lease)
        return True

    def status_json(self) -> str:
        """Return the state of the council and of all leases as one line of JSON."""
        now = self.timers.now()
        member = self.node.member if self.node is not None else None
        shown = {}
        for lease in sorted(self._leases.values(), key=lambda lease: lease.name):
            held = self.current_tenure(lease)
            vote = member.votes.get(lease.key) if member is not None else None
            shown[lease.name] = {
                "held": held is not None,
                "number": held.number if held is not None else 0,
                "left_s": round(max(0.0, held.end - now), 3) if held is not None else 0.0,
                "vote_for": vote.holder if vote is not None and now < vote.until else -1,
            }
        votes_in = max(0.0, member.voting_at - now) if member is not None else -1.0
        return json.dumps(
            {
                "council": self.council.number,
                "members": sorted(self.council.members),
                "votes_in_s": round(votes_in, 3) if votes_in < math.inf else -1.0,
                "leases": shown,
            },
            separators=(",", ":"),
        )

    def leave(self) -> None:
        """Give up all leases before the process ends, and acquire none any more.

        A lease under which an act is in progress is not released; it ends by its span.
        """
        self._leaving = True
        now = self.timers.now()
        for lease in self._leases.values():
            if self.node is not None and now >= lease.busy_until:
                self._perform(self.node.release(now, lease.key))

    # ---- upgrades and council changes ----------------------------------------------------------------------

    def hand_over_state(self) -> dict[str, Any] | None:
        """Stop voting and holding leases; return the state for the process that replaces this one.

        None if this process had not started taking part. Acts in progress go on; their leases end by their
        span.
        """
        if self.node is None:
            return None
        now = self.timers.now()
        busy = frozenset(lease.key for lease in self._leases.values() if now < lease.busy_until)
        actions, state = self.node.hand_over(now, busy)
        self._perform(actions)
        self.node = None
        if self._port_lock is not None:
            self._port_lock.close()
        return {"at": time.monotonic(), "node": state}

    def take_back(self) -> None:
        """Start taking part again after the new process has died.

        Nothing is granted for `terms.silence` seconds, until all that the new process granted or held has
        ended.
        """
        if self.node is None:
            self.open()

    def reload(self, options: LeaseOptions) -> str:
        """Adopt the council and terms of changed options; return why they are refused, or an empty string."""
        council, lease_terms = self._parse_options(options)
        if (council, lease_terms) == (self.council, self.terms):
            return ""
        if council.number <= self.council.number:
            return f"leases.number: must be over {self.council.number} where members or spans change"
        self.council, self.terms = council, lease_terms
        if self.node is not None:
            self._perform(self.node.adopt(self.timers.now(), council, lease_terms))
            self._announce_council()
        self.metrics.log("leases_council_changed", number=council.number, members=len(council.members))
        return ""

    def _announce_council(self) -> None:
        if self.node is None:
            return
        actions = self.node.member.announce_council()
        self._perform(actions)
        if actions:
            self.timers.after(COUNCIL_INTERVAL_S, self._announce_council)

    # ---- the node ------------------------------------------------------------------------------------------

    def _receive(self, number: int, payload: bytes) -> None:
        message = wire.decode(payload)
        if message is None:
            self.metrics.count_and_log("datagram_malformed", sender=number, bytes=len(payload))
        elif self.node is not None:
            self._perform(self.node.receive(self.timers.now(), number, message))

    def _perform(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case SendMessage():
                    self.peers.send(action.to, wire.encode(action.message))
                case WriteNumber():
                    self.metrics.spawn(self._write_number(action), "lease number")
                case LeaseAcquired():
                    self._report(action.lease, "lease_held", number=action.number)
                case LeaseEnded():
                    self._report(action.lease, "lease_lost", number=action.number, why=action.reason)
        self._schedule()

    def _report(self, key: int, event: str, **fields: object) -> None:
        lease = self._leases[key]
        self.metrics.count("leases_held" if event == "lease_held" else "leases_lost")
        self.metrics.log(event, lease=lease.name, **fields)
        lease.changed.set()
        if event == "lease_lost" and lease.on_lost is not None:
            lease.on_lost()

    def _schedule(self) -> None:
        at = self.node.next_at if self.node is not None else math.inf
        if at == math.inf or self._timer is not None and self._timer_at <= at:
            return  # the earlier timer calls `_advance`, which schedules again
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = at
        self._timer = self.timers.at(at, self._advance)

    def _advance(self) -> None:
        self._timer, self._timer_at = None, math.inf
        if self.node is not None:
            self._perform(self.node.advance(self.timers.now()))

    async def _write_number(self, write: WriteNumber) -> None:
        current_node, written = self.node, False
        record = incarnations.sign_record(
            self.config.name, self.config.settings.own_number, _NUMBER.pack(write.number)
        )
        try:
            async with self.timers.timeout(DISK_TIMEOUT_S):
                if self.store is not None:
                    await self.store.commit([Put(RECORD_PREFIX + write.lease.to_bytes(8, "big"), record)])
            written = True
        except (StoreError, TimeoutError) as error:
            self.metrics.count_and_log("lease_not_written", why=f"{type(error).__name__}: {error}")
        if current_node is not None and current_node is self.node:
            self._perform(current_node.number_written(self.timers.now(), write, written))
