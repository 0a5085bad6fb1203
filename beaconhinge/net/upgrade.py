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
from ..management.calls import Call
from ..management.handover import Unusable
from ..membership.inventory import InventoryError
from ..policy import interface
from ..runtime.metrics import Metrics
from ..runtime.timer_wheel import TimerWheel
from .discovery import Discovery
from .listener import Listener
from .operator_calls import OperatorCalls
from .peers import PeerSocket
from .sockets import DescriptorBudget, connect
from .worker_pool import WorkerPool

ANSWER = 1.0  # seconds that the process that serves has for each of its two answers
READY_BY = 4.5  # seconds after its start, of 6, by which a new process says that it is ready
LOOK = 0.05
TELL_SLOTS = 0.05  # seconds between looks at the own slots out, while the other process wants to know
SHARE = 0.5  # of sockets and bodies for each of the two
_SLOTS = struct.Struct(">Id")


class Link:
    """The connection between the two processes. `took` gets each frame, `lost` is called once at its end."""

    def __init__(self, sock: socket.socket, metrics: Metrics) -> None:
        self.sock = sock
        self.metrics = metrics
        self.frames = handover.Frames()
        self.waiting: list[tuple[int, bytes]] = []  # read, and not yet taken
        self._out: asyncio.Queue[bytes] = asyncio.Queue()

    async def first(self) -> tuple[int, bytes]:
        """Raises OSError, or Unusable."""
        while not self.waiting:
            data = await asyncio.get_running_loop().sock_recv(self.sock, 65536)
            if not data:
                raise ConnectionError("the other process ended the connection")
            self.waiting += self.frames.feed(data)
        return self.waiting.pop(0)

    def start(self, took: Callable[[int, bytes], None], lost: Callable[[], None]) -> None:
        self._took, self._lost = took, lost
        self._writing = self.metrics.spawn(self._write(), "link")
        self.metrics.spawn(self._read(), "link")

    def send(self, kind: int, payload: bytes = b"") -> None:
        self._out.put_nowait(handover.frame(kind, payload))

    async def _read(self) -> None:
        try:
            while True:
                self._took(*await self.first())
        except OSError:
            pass
        except Unusable as why:
            self.metrics.count_and_log("handover_unusable", why=why)
        except Exception as error:  # a defect here: the other process goes on by itself
            self.metrics.log_exception("link", error)
        self._end()

    async def _write(self) -> None:
        with contextlib.suppress(OSError):  # the reader notices as well
            while True:
                await asyncio.get_running_loop().sock_sendall(self.sock, await self._out.get())

    def _end(self) -> None:
        self._writing.cancel()
        self.sock.close()
        self._lost()


class Upgrade:
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
        self.word = shared / f"beaconhinge-{config.listen[0]}-{config.listen[1]}.json"
        self.token = secrets.token_hex(16)
        # What other parts hand over, and what they do when the new process has died.
        self.parts: dict[str, tuple[Callable[[], Any], Callable[[], None]]] = {}
        self.before: Link | None = None  # to the process that this one replaces
        self.after: Link | None = None  # to the one that replaces this one
        self._ready_at = timers.now() + READY_BY
        self._parted = asyncio.Event()
        self._done = False  # the one before owes nothing any more
        self._inherited: Counter[int] = Counter()  # slots out by the one before, by worker
        self._told: Counter[int] = Counter()  # own slots out, as the one after knows them
        workers.elsewhere = self._pass_on
        operators.others = self._tell_operators
        operators.replaces = lambda: self.ready

    @property
    def ready(self) -> bool:
        """Whether the process before may be ended: it owes nothing any more, or this one waits no longer."""
        return self.before is None or self._done or self.timers.now() >= self._ready_at

    @property
    def paired(self) -> bool:
        """Whether another process of this dispatcher is there."""
        return self.before is not None or self.after is not None

    # ---- the new process -----------------------------------------------------------------------------------

    async def inherit(self) -> dict[str, Any] | None:
        """What the process that serves hands over. None if there is no such process, or, with a line that
        says why, if it does not answer: then this one starts from nothing.
        """
        try:
            found = json.loads(self.word.read_bytes())
            where, token = address(found["mgmt"], "mgmt"), found["token"]
        except FileNotFoundError:
            return None
        except (OSError, ValueError, TypeError, KeyError, ConfigError) as error:
            self.metrics.count_and_log(
                "handover_unusable", why=f"{self.word.name}: {type(error).__name__}: {error}"
            )
            return None
        sock = None
        try:
            async with self.timers.timeout(ANSWER):
                sock = await connect(where)
                link = Link(sock, self.metrics)
                await asyncio.get_running_loop().sock_sendall(sock, f"{calls.TAKE_OVER} {token}\n".encode())
                kind, form = await link.first()
            if kind != handover.STATE:
                raise Unusable(f"a frame of kind {kind}")
            content = handover.unseal(form)
        except (OSError, Unusable, ValueError, RecursionError) as error:
            if sock is not None:
                sock.close()
            # Left over by a process that was killed: nobody is there to be called.
            self.metrics.count_and_log("handover_unusable", why=f"{type(error).__name__}: {error}")
            return None
        self.before = link
        return content

    def restore(self, content: dict[str, Any]) -> None:
        """After the module's start and before its first list."""
        self.budget.set_share(SHARE)
        try:
            hosts = self.discovery.inventory.read(content["list"])
            out = [str(host_id) for host_id in content["out"]]
            here = tuple(content["discovery"]) == self.discovery.address
            module = content["module"]
        except (InventoryError, KeyError, TypeError) as error:
            self.metrics.count_and_log("handover_unusable", why=f"{type(error).__name__}: {error}")
            return
        try:
            handover.restore(self.policy_runner.dispatcher, module)
            for worker in self.policy_runner.dispatcher.workers.values():
                self._inherited[worker.id] = round(worker.in_flight)
        except Unusable as why:  # as with other settings: the list and the operators' word still hold
            self.metrics.count_and_log("handover_unusable", why=why)
        self.discovery.inherit(hosts, here)
        for host_id in out:
            self.operators.apply(host_id, True)
        self.metrics.log("taken_over", workers=len(hosts.hosts), out=len(out))

    async def serving(self) -> None:
        """This process serves. Once the other has let go of the addresses, it says so to whoever asks."""
        if self.before is not None:
            self.before.start(self._from_before, self._before_ended)
            self.before.send(handover.SERVING)
            with contextlib.suppress(TimeoutError):
                async with self.timers.timeout(ANSWER):
                    await self._parted.wait()
        self._leave_word()

    def _from_before(self, kind: int, payload: bytes) -> None:
        if kind == handover.PARTED:
            self._parted.set()
        elif kind == handover.DONE:
            self._done = True
        elif kind == handover.SLOTS:
            number, slots = _SLOTS.unpack(payload)
            self._inherited[number] += slots
            self.policy_runner.feed(interface.SiblingLoad(number, slots))
        else:
            self._either(kind, payload, self.before)

    def _before_ended(self) -> None:
        self._parted.set()
        self.before = None
        for number, slots in self._inherited.items():
            if slots > 0:
                self.policy_runner.feed(interface.SiblingLoad(number, -slots))
        self._inherited.clear()
        self.budget.set_share(SHARE if self.after is not None else 1.0)
        self.metrics.log("other_process_ended")

    # ---- the old process -----------------------------------------------------------------------------------

    def adopt(self, token: str, sock: socket.socket) -> str:
        """A new process is there. Why it may not take over, or nothing: then the socket is kept."""
        if not secrets.compare_digest(token.encode(), self.token.encode()):
            return "not the word that this process has left"
        if self.after is not None or self.listener.ending:
            return "another has taken over" if self.after is not None else "this process is ending"
        form = handover.seal(
            {
                "module": handover.take(self.policy_runner.dispatcher),
                "out": sorted(self.operators.out),
                "list": self.discovery.inventory.write(self.discovery.version or 0, self.workers.hosts()),
                "discovery": self.discovery.address,
                **{name: give() for name, (give, _) in self.parts.items()},
            }
        )
        link = self.after = Link(sock, self.metrics)
        link.start(self._from_after, self._after_ended)
        self._told = self._out()
        link.send(handover.STATE, form)
        self.timers.after(TELL_SLOTS, self._tell_slots)
        return ""

    def _from_after(self, kind: int, payload: bytes) -> None:
        if kind == handover.SERVING and self.after is not None:
            self.metrics.spawn(self._let_go(self.after), "let go")
        else:
            self._either(kind, payload, self.after)

    async def _let_go(self, link: Link) -> None:
        """Of the shared addresses. What the old process has taken it brings to its end. The new one may die
        at any point: then all has been taken back, or nothing was let go.
        """
        if self.after is not link:
            return
        self.peers.let_go()
        self.budget.set_share(SHARE)
        await self.listener.let_go()
        if self.after is link:
            self.metrics.log("handed_over", owed=self.listener.owing)
            link.send(handover.PARTED)
        while self.after is link and self.listener.owing:
            await asyncio.sleep(LOOK)
        if self.after is link:
            link.send(handover.DONE)

    def _after_ended(self) -> None:
        self.after = None
        if self.listener.handed and not self.listener.ending:
            self.metrics.count_and_log("taken_back")  # the new process died: this one goes on
            self.policy_runner.dispatcher.fleet.incarnation = (
                self.policy_runner.dispatcher.fleet.incarnation + 1
            ) & 0xFF
            self.peers.listen()
            self.listener.take_back()
            self.budget.set_share(SHARE if self.before is not None else 1.0)
            self._leave_word()
        for _, take_back in self.parts.values():
            take_back()

    def _tell_slots(self) -> None:
        if self.after is None:
            return
        self.timers.after(TELL_SLOTS, self._tell_slots)
        out = self._out()
        for number in {*out, *self._told}:
            if out[number] != self._told[number]:
                self.after.send(handover.SLOTS, _SLOTS.pack(number, out[number] - self._told[number]))
        self._told = out

    def _out(self) -> Counter[int]:
        return Counter(
            {w.id: round(w.in_flight) for w in self.policy_runner.dispatcher.workers.values() if w.in_flight}
        )

    # ---- both ----------------------------------------------------------------------------------------------

    def _leave_word(self) -> None:
        """Where to call this process. A new file takes the old one's place whole."""
        new = self.word.with_suffix(".new")
        try:
            with contextlib.suppress(FileNotFoundError):
                new.unlink()
            with os.fdopen(os.open(new, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600), "w") as file:
                json.dump({"mgmt": f"{self.mgmt[0]}:{self.mgmt[1]}", "token": self.token}, file)
            new.replace(self.word)
        except OSError as error:  # the next process starts from nothing
            self.metrics.count_and_log("handover_word_not_left", why=error)

    def _links(self, but: Link | None) -> list[Link]:
        return [link for link in (self.before, self.after) if link is not None and link is not but]

    def _pass_on(self, body: bytes, worker: int, but: Link | None = None) -> None:
        """A call-back for no job of this process may be for one of the other's."""
        for link in self._links(but):
            link.send(handover.CALL_BACK, body)
            self.metrics.count("callbacks_passed_on")
            if link is self.before:  # the worker lives, though nothing is told here
                self.policy_runner.feed(interface.SiblingLoad(worker, 0.0))

    def _tell_operators(self, call: Call) -> None:
        """What an operator asks of one process holds for both; a drain is for the one that takes clients."""
        kinds = {calls.DISABLE: handover.OUT, calls.ENABLE: handover.BACK}
        for link in self._links(None):
            if call.name in kinds:
                link.send(kinds[call.name], call.word.encode())
            elif link is self.after:
                link.send(handover.DRAIN if call.name == calls.DRAIN else handover.RESUME)

    def _either(self, kind: int, payload: bytes, link: Link | None) -> None:
        if kind == handover.CALL_BACK:
            self.workers.news(payload, lambda body, worker: self._pass_on(body, worker, link))
            return
        for other in self._links(link):  # a third, where one upgrade follows close on another
            other.send(kind, payload)
        if kind in (handover.OUT, handover.BACK):
            self.operators.apply(payload.decode("ascii"), kind == handover.OUT)
        else:
            self.operators.send_away(kind == handover.DRAIN)
