"""Replacing the process under load: the two processes of one dispatcher find each other, and one takes over.

The one that serves leaves word in `$TMPDIR` where it can be called. The new one calls there, is given what
the other knows, opens the shared addresses and says so; the other then lets go of them. Until it has ended,
call-backs that reach the wrong one are passed on, and the slots of its jobs are told.
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
from ..management.handover import HandoverError
from ..membership.inventory import WorkerListError
from ..policy import interface
from ..runtime.metrics import Metrics
from ..runtime.timer_wheel import TimerWheel
from .discovery import Discovery
from .listener import Listener
from .operator_calls import OperatorCalls
from .peers import PeerSocket
from .sockets import DescriptorBudget, connect
from .worker_pool import WorkerPool

ANSWER_TIMEOUT_S = 1.0  # seconds that the process that serves has for each of its two answers
READY_WITHIN_S = 4.5  # seconds after its start, of 6, by which a new process says that it is ready
CHECK_INTERVAL_S = 0.05
SLOTS_INTERVAL_S = 0.05  # seconds between looks at the own slots out, while the other process wants to know
BUDGET_SHARE = 0.5  # of sockets and bodies for each of the two
_SLOTS = struct.Struct(">Id")


class ProcessLink:
    """The connection between the two processes of one dispatcher."""

    def __init__(self, sock: socket.socket, metrics: Metrics) -> None:
        self.sock = sock
        self.metrics = metrics
        self.frames = handover.FrameReader()
        self._received: list[tuple[int, bytes]] = []  # read, and not yet taken
        self._outgoing: asyncio.Queue[bytes] = asyncio.Queue()

    async def next_frame(self) -> tuple[int, bytes]:
        """The kind and payload of the next frame.

        Raises:
            OSError: The connection has ended.
            HandoverError: The frame must not be used.
        """
        while not self._received:
            data = await asyncio.get_running_loop().sock_recv(self.sock, 65536)
            if not data:
                raise ConnectionError("the other process ended the connection")
            self._received += self.frames.feed(data)
        return self._received.pop(0)

    def start(self, on_frame: Callable[[int, bytes], None], on_closed: Callable[[], None]) -> None:
        """Read and write from now on: `on_frame` gets each frame, `on_closed` is called once at the end."""
        self._on_frame, self._on_closed = on_frame, on_closed
        self._writing = self.metrics.spawn(self._write(), "link")
        self.metrics.spawn(self._read(), "link")

    def send(self, kind: int, payload: bytes = b"") -> None:
        """Queue a frame; it is lost if the connection ends first."""
        self._outgoing.put_nowait(handover.encode_frame(kind, payload))

    async def _read(self) -> None:
        try:
            while True:
                self._on_frame(*await self.next_frame())
        except OSError:
            pass
        except HandoverError as why:
            self.metrics.count_and_log("handover_unusable", why=why)
        except Exception as error:  # a defect here: the other process goes on by itself
            self.metrics.log_exception("link", error)
        self._close()

    async def _write(self) -> None:
        with contextlib.suppress(OSError):  # the reader notices as well
            while True:
                await asyncio.get_running_loop().sock_sendall(self.sock, await self._outgoing.get())

    def _close(self) -> None:
        self._writing.cancel()
        self.sock.close()
        self._on_closed()


class ProcessUpgrade:
    """Takes over from the process that serves, and hands over to the one that comes after.

    Attributes:
        parts: What other parts hand over, and what they do when the new process has died.
        predecessor: The link to the process that this one replaces.
        successor: The link to the process that replaces this one.
    """

    def __init__(
        self,
        config: Config,
        mgmt: Address,
        shared: Path,
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
        self.rendezvous_file = shared / f"beaconhinge-{config.listen[0]}-{config.listen[1]}.json"
        self.token = secrets.token_hex(16)
        # What other parts hand over, and what they do when the new process has died.
        self.parts: dict[str, tuple[Callable[[], Any], Callable[[], None]]] = {}
        self.predecessor: ProcessLink | None = None  # to the process that this one replaces
        self.successor: ProcessLink | None = None  # to the one that replaces this one
        self._ready_deadline = timers.now() + READY_WITHIN_S
        self._addresses_released = asyncio.Event()
        self._predecessor_done = False  # the one before owes nothing any more
        self._predecessor_slots: Counter[int] = Counter()  # slots out by the one before, by worker
        self._reported_slots: Counter[int] = Counter()  # own slots out, as the one after knows them
        workers.on_unmatched_callback = self._forward_callback
        operators.forward = self._forward_operator_call
        operators.may_replace = lambda: self.ready

    @property
    def ready(self) -> bool:
        """Whether the predecessor may be ended: it owes nothing any more, or this process waits no longer."""
        return self.predecessor is None or self._predecessor_done or self.timers.now() >= self._ready_deadline

    @property
    def paired(self) -> bool:
        """Whether another process of this dispatcher is there."""
        return self.predecessor is not None or self.successor is not None

    # ---- the new process -----------------------------------------------------------------------------------

    async def inherit(self) -> dict[str, Any] | None:
        """Ask the process that serves for its state.

        Returns:
            The state; None if there is no such process or, with a log line, if it does not answer: then this
                one
            starts from nothing.
        """
        try:
            found = json.loads(self.rendezvous_file.read_bytes())
            where, token = address(found["mgmt"], "mgmt"), found["token"]
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
                sock = await connect(where)
                link = ProcessLink(sock, self.metrics)
                await asyncio.get_running_loop().sock_sendall(sock, f"{calls.TAKE_OVER} {token}\n".encode())
                kind, form = await link.next_frame()
            if kind != handover.STATE:
                raise HandoverError(f"a frame of kind {kind}")
            content = handover.unseal(form)
        except (OSError, HandoverError, ValueError, RecursionError) as error:
            if sock is not None:
                sock.close()
            # Left over by a process that was killed: nobody is there to be called.
            self.metrics.count_and_log("handover_unusable", why=f"{type(error).__name__}: {error}")
            return None
        self.predecessor = link
        return content

    def restore(self, content: dict[str, Any]) -> None:
        """Take in the state, after the start of the policy and before its first list."""
        self.budget.set_share(BUDGET_SHARE)
        try:
            hosts = self.discovery.list_parser.parse(content["list"])
            out = [str(host_id) for host_id in content["out"]]
            here = tuple(content["discovery"]) == self.discovery.address
            module = content["module"]
        except (WorkerListError, KeyError, TypeError) as error:
            self.metrics.count_and_log("handover_unusable", why=f"{type(error).__name__}: {error}")
            return
        try:
            handover.restore(self.policy_runner.dispatcher, module)
            for worker in self.policy_runner.dispatcher.workers.values():
                self._predecessor_slots[worker.id] = round(worker.in_flight)
        except HandoverError as why:  # as with other settings: the list and the operators' word still hold
            self.metrics.count_and_log("handover_unusable", why=why)
        self.discovery.take_over_list(hosts, here)
        for host_id in out:
            self.operators.set_maintenance(host_id, True)
        self.metrics.log("taken_over", workers=len(hosts.endpoints), out=len(out))

    async def announce_serving(self) -> None:
        """Tell the predecessor that this process serves.

        Once it has released the addresses, say where to call.
        """
        if self.predecessor is not None:
            self.predecessor.start(self._receive_from_predecessor, self._predecessor_ended)
            self.predecessor.send(handover.SERVING)
            with contextlib.suppress(TimeoutError):
                async with self.timers.timeout(ANSWER_TIMEOUT_S):
                    await self._addresses_released.wait()
        self._write_rendezvous()

    def _receive_from_predecessor(self, kind: int, payload: bytes) -> None:
        if kind == handover.PARTED:
            self._addresses_released.set()
        elif kind == handover.DONE:
            self._predecessor_done = True
        elif kind == handover.SLOTS:
            number, slots = _SLOTS.unpack(payload)
            self._predecessor_slots[number] += slots
            self.policy_runner.feed(interface.SiblingLoad(number, slots))
        else:
            self._receive_shared(kind, payload, self.predecessor)

    def _predecessor_ended(self) -> None:
        self._addresses_released.set()
        self.predecessor = None
        for number, slots in self._predecessor_slots.items():
            if slots > 0:
                self.policy_runner.feed(interface.SiblingLoad(number, -slots))
        self._predecessor_slots.clear()
        self.budget.set_share(BUDGET_SHARE if self.successor is not None else 1.0)
        self.metrics.log("other_process_ended")

    # ---- the old process -----------------------------------------------------------------------------------

    def accept_successor(self, token: str, sock: socket.socket) -> str:
        """Hand over to a new process that has called.

        Returns:
            Why it may not take over, or an empty text: then the socket is kept.
        """
        if not secrets.compare_digest(token.encode(), self.token.encode()):
            return "not the word that this process has left"
        if self.successor is not None or self.listener.ending:
            return "another has taken over" if self.successor is not None else "this process is ending"
        form = handover.seal(
            {
                "module": handover.take(self.policy_runner.dispatcher),
                "out": sorted(self.operators.in_maintenance),
                "list": self.discovery.list_parser.to_json(
                    self.discovery.version or 0, self.workers.endpoints()
                ),
                "discovery": self.discovery.address,
                **{name: give() for name, (give, _) in self.parts.items()},
            }
        )
        link = self.successor = ProcessLink(sock, self.metrics)
        link.start(self._receive_from_successor, self._successor_ended)
        self._reported_slots = self._slots_in_flight()
        link.send(handover.STATE, form)
        self.timers.after(SLOTS_INTERVAL_S, self._report_slots)
        return ""

    def _receive_from_successor(self, kind: int, payload: bytes) -> None:
        if kind == handover.SERVING and self.successor is not None:
            self.metrics.spawn(self._release_addresses(self.successor), "let go")
        else:
            self._receive_shared(kind, payload, self.successor)

    async def _release_addresses(self, link: ProcessLink) -> None:
        """Release the shared addresses; what this process has taken it brings to its end.

        The new one may die at any point: then all has been taken back, or nothing was released.
        """
        if self.successor is not link:
            return
        self.peers.close()
        self.budget.set_share(BUDGET_SHARE)
        await self.listener.hand_over()
        if self.successor is link:
            self.metrics.log("handed_over", owed=self.listener.unanswered)
            link.send(handover.PARTED)
        while self.successor is link and self.listener.unanswered:
            await asyncio.sleep(CHECK_INTERVAL_S)
        if self.successor is link:
            link.send(handover.DONE)

    def _successor_ended(self) -> None:
        self.successor = None
        if self.listener.handed and not self.listener.ending:
            self.metrics.count_and_log("taken_back")  # the new process died: this one goes on
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
        out = self._slots_in_flight()
        for number in {*out, *self._reported_slots}:
            if out[number] != self._reported_slots[number]:
                self.successor.send(
                    handover.SLOTS, _SLOTS.pack(number, out[number] - self._reported_slots[number])
                )
        self._reported_slots = out

    def _slots_in_flight(self) -> Counter[int]:
        workers = self.policy_runner.dispatcher.workers.values()
        return Counter({worker.id: round(worker.in_flight) for worker in workers if worker.in_flight})

    # ---- both ----------------------------------------------------------------------------------------------

    def _write_rendezvous(self) -> None:
        """Write where to call this process; a new file takes the old one's place as a whole."""
        new = self.rendezvous_file.with_suffix(".new")
        try:
            with contextlib.suppress(FileNotFoundError):
                new.unlink()
            with os.fdopen(os.open(new, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600), "w") as file:
                json.dump({"mgmt": f"{self.mgmt[0]}:{self.mgmt[1]}", "token": self.token}, file)
            new.replace(self.rendezvous_file)
        except OSError as error:  # the next process starts from nothing
            self.metrics.count_and_log("handover_file_write_failed", why=error)

    def _links(self, but: ProcessLink | None) -> list[ProcessLink]:
        return [link for link in (self.predecessor, self.successor) if link is not None and link is not but]

    def _forward_callback(self, body: bytes, worker: int, but: ProcessLink | None = None) -> None:
        """Forward a call-back for no job of this process: it may be for one of the other's."""
        for link in self._links(but):
            link.send(handover.CALL_BACK, body)
            self.metrics.count("callbacks_passed_on")
            if link is self.predecessor:  # the worker lives, though nothing is told here
                self.policy_runner.feed(interface.SiblingLoad(worker, 0.0))

    def _forward_operator_call(self, call: OperatorCall) -> None:
        """Forward what holds for both processes; a drain is for the one that takes clients."""
        kinds = {calls.DISABLE: handover.OUT, calls.ENABLE: handover.BACK}
        for link in self._links(None):
            if call.name in kinds:
                link.send(kinds[call.name], call.argument.encode())
            elif link is self.successor:
                link.send(handover.DRAIN if call.name == calls.DRAIN else handover.RESUME)

    def _receive_shared(self, kind: int, payload: bytes, link: ProcessLink | None) -> None:
        if kind == handover.CALL_BACK:
            self.workers.receive_callback(
                payload, lambda body, worker: self._forward_callback(body, worker, link)
            )
            return
        for other in self._links(link):  # a third, where one upgrade follows close on another
            other.send(kind, payload)
        if kind in (handover.OUT, handover.BACK):
            self.operators.set_maintenance(payload.decode("ascii"), kind == handover.OUT)
        else:
            self.operators.set_drained(kind == handover.DRAIN)
