"""Upgrade without downtime: a new process of a dispatcher takes over from the running one, under load.

The running process publishes its management address in a rendezvous file in `$TMPDIR`. The new process calls
that address, receives the running one's state, listens on the shared addresses and reports that it serves.
The old process then releases the addresses. Until the old process ends, call-backs that reach the wrong
process are forwarded, and the old one reports the slots that its jobs use on workers.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import secrets
import socket
import struct
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

from ..config import Address, Config, ConfigError
from ..config.platform import address
from ..dispatch.policy_runner import PolicyRunner
from ..management import calls, handover
from ..management.calls import OperatorCall
from ..management.frames import FrameKind, HandoverError
from ..membership.inventory import WorkerListError
from ..policy import interface
from ..runtime.metrics import Metrics
from ..runtime.timer_wheel import TimerWheel
from .discovery import Discovery
from .listener import Listener
from .operator_calls import OperatorCalls
from .peers import PeerSocket
from .process_link import ProcessLink
from .request_ids import Claim
from .sockets import DescriptorBudget, connect
from .worker_pool import WorkerPool

ANSWER_TIMEOUT_S = 1.0  # seconds that the running process has for each of its two answers
READY_WITHIN_S = 4.5  # seconds after its start by which a new process reports ready; it is allowed 6 s
CHECK_INTERVAL_S = 0.05  # seconds between checks whether all requests are answered
DECIDES_ON_IDS = "request_ids"  # feature of a process: it decides on the ids that its successor claims
SLOTS_INTERVAL_S = 0.05  # seconds between reports of changes in used slots to the successor
BUDGET_SHARE = 0.5  # share of sockets and of memory for bodies that each of the two processes has
DECISIONS: dict[int, Claim] = {FrameKind.ID_GRANTED: Claim.GRANTED, FrameKind.ID_IN_USE: Claim.IN_USE}
# Frames that either process may send, and that a third one has to receive as well.
SHARED_KINDS = (FrameKind.DISABLE_WORKER, FrameKind.ENABLE_WORKER, FrameKind.DRAIN, FrameKind.RESUME)
_SLOTS_CHANGE = struct.Struct(">Id")  # worker number, change in used slots


class ProcessUpgrade:
    """Takes over from the running process at the start, and hands over to a new process later.

    Attributes:
        parts: For each component that hands over state of its own, by name: a function that returns the
            state, and a function that is called when the new process has died.
        predecessor: The link to the process that this one replaces; None if there is none.
        successor: The link to the process that replaces this one; None if there is none.
        token: The secret that a successor must present; published in the rendezvous file.
    """

    def __init__(
        self,
        config: Config,
        mgmt: Address,
        shared_folder: Path,
        policy_runner: PolicyRunner,
        workers: WorkerPool,
        discovery: Discovery,
        peers: PeerSocket,
        listener: Listener,
        operators: OperatorCalls,
        budget: DescriptorBudget,
        timers: TimerWheel,
        metrics: Metrics,
    ) -> None:
        self.mgmt = mgmt
        self.policy_runner = policy_runner
        self.workers = workers
        self.discovery = discovery
        self.peers = peers
        self.listener = listener
        self.operators = operators
        self.budget = budget
        self.timers = timers
        self.metrics = metrics
        self.rendezvous_file = shared_folder / f"beaconhinge-{config.listen[0]}-{config.listen[1]}.json"
        self.token = secrets.token_hex(16)
        self.parts: dict[str, tuple[Callable[[], Any], Callable[[], None]]] = {}
        self.predecessor: ProcessLink | None = None
        self.successor: ProcessLink | None = None
        self._ready_deadline = timers.now() + READY_WITHIN_S
        self._addresses_released = asyncio.Event()
        self._predecessor_done = False  # the predecessor has answered all its requests
        self._predecessor_slots: Counter[int] = Counter()  # slots that the predecessor uses, by worker number
        self._reported_slots: Counter[int] = Counter()  # this process's used slots, as last reported
        workers.on_unmatched_callback = self._forward_callback
        operators.forward = self._forward_operator_call
        operators.may_replace = lambda: self.ready

    @property
    def ready(self) -> bool:
        """Whether the predecessor, if any, may be ended: it owes no answer, or READY_WITHIN_S has passed."""
        return self.predecessor is None or self._predecessor_done or self.timers.now() >= self._ready_deadline

    @property
    def paired(self) -> bool:
        """Whether another process of this dispatcher is connected."""
        return self.predecessor is not None or self.successor is not None

    # ---- the new process -----------------------------------------------------------------------------------

    async def inherit(self) -> dict[str, Any] | None:
        """Request the state of the running process, if there is one.

        Returns:
            The state; None if there is no running process. Also None, with a log line, if it does not answer
            with a usable state. In both cases this process starts without state.
        """
        try:
            rendezvous = json.loads(self.rendezvous_file.read_bytes())
            management_address, token = address(rendezvous["mgmt"], "mgmt"), rendezvous["token"]
        except FileNotFoundError:
            return None
        except (OSError, ValueError, TypeError, KeyError, ConfigError) as error:
            self.metrics.count_and_log(
                "handover_unusable", why=f"{self.rendezvous_file.name}: {type(error).__name__}: {error}"
            )
            return None
        sock = None
        try:
            async with self.timers.timeout(ANSWER_TIMEOUT_S):
                sock = await connect(management_address)
                link = ProcessLink(sock, self.metrics)
                await asyncio.get_running_loop().sock_sendall(sock, f"{calls.TAKE_OVER} {token}\n".encode())
                kind, sealed = await link.next_frame()
            if kind != FrameKind.STATE:
                raise HandoverError(f"expected the state, received a frame of kind {kind}")
            content = handover.unseal(sealed)
        except (OSError, HandoverError, ValueError, RecursionError) as error:
            if sock is not None:
                sock.close()
            # Usually a process that was killed has left the file, and nothing listens at that address.
            self.metrics.count_and_log("handover_unusable", why=f"{type(error).__name__}: {error}")
            return None
        self.predecessor = link
        if DECIDES_ON_IDS in content.get("features", ()):
            self.listener.ids.ask_older_process(link.send)
        return content

    def restore(self, content: dict[str, Any]) -> None:
        """Apply the predecessor's state; called after the policy has started and before its first list.

        An unusable state is logged and not applied.
        """
        self.budget.set_share(BUDGET_SHARE)
        try:
            worker_list = self.discovery.list_parser.parse(content["list"])
            in_maintenance = [str(host_id) for host_id in content["out"]]
            same_discovery = tuple(content["discovery"]) == self.discovery.address
            policy_state = content["module"]
        except (WorkerListError, KeyError, TypeError) as error:
            self.metrics.count_and_log("handover_unusable", why=f"{type(error).__name__}: {error}")
            return
        try:
            handover.restore(self.policy_runner.dispatcher, policy_state)
            for worker in self.policy_runner.dispatcher.workers.values():
                self._predecessor_slots[worker.id] = round(worker.in_flight)
        except HandoverError as state_error:  # e.g. other settings; list and maintenance modes still apply
            self.metrics.count_and_log("handover_unusable", why=state_error)
        self.discovery.take_over_list(worker_list, same_discovery)
        for host_id in in_maintenance:
            self.operators.set_maintenance(host_id, True)
        self.metrics.log("taken_over", workers=len(worker_list.endpoints), out=len(in_maintenance))

    async def announce_serving(self) -> None:
        """Notify the predecessor that this process serves, and publish this process's management address.

        The address is published once the predecessor has released the shared ones, or after ANSWER_TIMEOUT_S.
        """
        if self.predecessor is not None:
            self.predecessor.start(self._receive_from_predecessor, self._predecessor_ended)
            self.predecessor.send(FrameKind.SERVING)
            with contextlib.suppress(TimeoutError):
                async with self.timers.timeout(ANSWER_TIMEOUT_S):
                    await self._addresses_released.wait()
        self._write_rendezvous()

    def _receive_from_predecessor(self, kind: int, payload: bytes) -> None:
        if kind == FrameKind.ADDRESSES_RELEASED:
            self._addresses_released.set()
        elif kind == FrameKind.ALL_ANSWERED:
            self._predecessor_done = True
        elif kind == FrameKind.SLOTS_CHANGE:
            number, slots = _SLOTS_CHANGE.unpack(payload)
            self._predecessor_slots[number] += slots
            self.policy_runner.feed(interface.SiblingLoad(number, slots))
        elif kind in DECISIONS:
            self.listener.ids.decided(payload.decode("ascii", "replace"), DECISIONS[kind])
        else:
            self._receive_shared(kind, payload, self.predecessor)

    def _predecessor_ended(self) -> None:
        self._addresses_released.set()
        self.predecessor = None
        self.listener.ids.older_process_ended()
        for number, slots in self._predecessor_slots.items():
            if slots > 0:
                self.policy_runner.feed(interface.SiblingLoad(number, -slots))
        self._predecessor_slots.clear()
        self.budget.set_share(BUDGET_SHARE if self.successor is not None else 1.0)
        self.metrics.log("other_process_ended")

    # ---- the old process -----------------------------------------------------------------------------------

    def accept_successor(self, token: str, sock: socket.socket) -> str:
        """Hand over to a new process that has connected on `sock` and presented `token`.

        Returns:
            Why it may not take over; an empty text if it may, and then this object owns the socket.
        """
        if not secrets.compare_digest(token.encode(), self.token.encode()):
            return "not the word that this process has left"
        if self.successor is not None or self.listener.ending:
            return "another has taken over" if self.successor is not None else "this process is ending"
        sealed = handover.seal(
            {
                "module": handover.export_state(self.policy_runner.dispatcher),
                "out": sorted(self.operators.in_maintenance),
                "list": self.discovery.list_parser.to_json(
                    self.discovery.version or 0, self.workers.endpoints()
                ),
                "discovery": self.discovery.address,
                "features": [DECIDES_ON_IDS],
                **{name: export() for name, (export, _) in self.parts.items()},
            }
        )
        link = self.successor = ProcessLink(sock, self.metrics)
        link.start(self._receive_from_successor, self._successor_ended)
        self._reported_slots = self._slots_in_flight()
        link.send(FrameKind.STATE, sealed)
        self.timers.after(SLOTS_INTERVAL_S, self._report_slots)
        return ""

    def _receive_from_successor(self, kind: int, payload: bytes) -> None:
        if kind == FrameKind.SERVING and self.successor is not None:
            self.metrics.spawn(self._release_addresses(self.successor), "release addresses")
        elif kind == FrameKind.CLAIM_ID and self.successor is not None:
            request = payload.decode("ascii", "replace")
            self.metrics.spawn(self.listener.ids.grant(request, self.successor.send), "grant id")
        elif kind == FrameKind.RELEASE_ID:
            self.listener.ids.released(payload.decode("ascii", "replace"))
        else:
            self._receive_shared(kind, payload, self.successor)

    async def _release_addresses(self, link: ProcessLink) -> None:
        """Release the shared addresses, and finish the requests that this process has accepted.

        The successor may die at any point: then `_successor_ended` has taken the addresses back, or none was
        released.
        """
        if self.successor is not link:
            return
        self.peers.close()
        self.budget.set_share(BUDGET_SHARE)
        await self.listener.hand_over()
        if self.successor is link:
            self.metrics.log("handed_over", owed=self.listener.unanswered)
            link.send(FrameKind.ADDRESSES_RELEASED)
        while self.successor is link and self.listener.unanswered:
            await asyncio.sleep(CHECK_INTERVAL_S)
        if self.successor is link:
            link.send(FrameKind.ALL_ANSWERED)

    def _successor_ended(self) -> None:
        self.successor = None
        self.listener.ids.newer_process_ended()
        if self.listener.handed and not self.listener.ending:
            self.metrics.count_and_log("taken_back")  # the successor died, so this process continues to serve
            self.policy_runner.dispatcher.gossip.incarnation = (
                self.policy_runner.dispatcher.gossip.incarnation + 1
            ) & 0xFF
            self.peers.listen()
            self.listener.take_back()
            self.budget.set_share(BUDGET_SHARE if self.predecessor is not None else 1.0)
            self._write_rendezvous()
        for _, take_back in self.parts.values():
            take_back()

    def _report_slots(self) -> None:
        if self.successor is None:
            return
        self.timers.after(SLOTS_INTERVAL_S, self._report_slots)
        in_flight = self._slots_in_flight()
        for number in {*in_flight, *self._reported_slots}:
            if in_flight[number] != self._reported_slots[number]:
                self.successor.send(
                    FrameKind.SLOTS_CHANGE,
                    _SLOTS_CHANGE.pack(number, in_flight[number] - self._reported_slots[number]),
                )
        self._reported_slots = in_flight

    def _slots_in_flight(self) -> Counter[int]:
        workers = self.policy_runner.dispatcher.workers.values()
        return Counter({worker.id: round(worker.in_flight) for worker in workers if worker.in_flight})

    # ---- both processes ------------------------------------------------------------------------------------

    def _write_rendezvous(self) -> None:
        """Publish this process's management address and token; the file is replaced atomically."""
        new_file = self.rendezvous_file.with_suffix(".new")
        try:
            with contextlib.suppress(FileNotFoundError):
                new_file.unlink()
            with os.fdopen(os.open(new_file, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600), "w") as file:
                json.dump({"mgmt": f"{self.mgmt[0]}:{self.mgmt[1]}", "token": self.token}, file)
            new_file.replace(self.rendezvous_file)
        except OSError as error:  # the next process starts without state
            self.metrics.count_and_log("handover_file_write_failed", why=error)

    def _links(self, excluded: ProcessLink | None) -> list[ProcessLink]:
        return [
            link for link in (self.predecessor, self.successor) if link is not None and link is not excluded
        ]

    def _forward_callback(self, body: bytes, worker: int, excluded: ProcessLink | None = None) -> None:
        """Forward a call-back that matches no job of this process; it may belong to the other process."""
        for link in self._links(excluded):
            link.send(FrameKind.CALLBACK, body)
            self.metrics.count("callbacks_passed_on")
            if link is self.predecessor:  # a sign of life from the worker, which this process would not see
                self.policy_runner.feed(interface.SiblingLoad(worker, 0.0))

    def _forward_operator_call(self, call: OperatorCall) -> None:
        """Forward a call that applies to both processes; a drain or resume goes to the successor only.

        The successor is the process that accepts clients.
        """
        kinds = {calls.DISABLE: FrameKind.DISABLE_WORKER, calls.ENABLE: FrameKind.ENABLE_WORKER}
        for link in self._links(None):
            if call.name in kinds:
                link.send(kinds[call.name], call.argument.encode())
            elif link is self.successor:
                link.send(FrameKind.DRAIN if call.name == calls.DRAIN else FrameKind.RESUME)

    def _receive_shared(self, kind: int, payload: bytes, link: ProcessLink | None) -> None:
        if kind == FrameKind.CALLBACK:
            self.workers.receive_callback(
                payload, lambda body, worker: self._forward_callback(body, worker, link)
            )
            return
        if kind not in SHARED_KINDS:
            self.metrics.count_and_log("frames_unknown", kind=kind)
            return
        for other in self._links(link):  # a third process, if a second upgrade begins before the first ends
            other.send(kind, payload)
        if kind in (FrameKind.DISABLE_WORKER, FrameKind.ENABLE_WORKER):
            self.operators.set_maintenance(payload.decode("ascii"), kind == FrameKind.DISABLE_WORKER)
        else:
            self.operators.set_drained(kind == FrameKind.DRAIN)
