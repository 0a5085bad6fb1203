"""The one listener: clients, `/up`, the workers' call-backs. Bytes become jobs here, answers become bytes."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import math
import socket
from collections.abc import Callable
from itertools import chain
from typing import TYPE_CHECKING
from urllib.parse import unquote

from ..config import Config
from ..dispatch.job import Answer, Job, RequestEnd
from ..dispatch.request import Request, RequestTable
from ..dispatch.work_estimates import Hints
from ..runtime.metrics import Metrics
from ..runtime.timer_wheel import TimerWheel
from .http1 import BadMessage, Closed, Connection, Message, response
from .sockets import DescriptorBudget, close, readable, steer_to_second, tcp_listener

if TYPE_CHECKING:
    from .streams import Streams

MAX_WAIT = 3600.0  # the longest time that a client may ask to wait
SLOW_WRITE = 10.0  # seconds a client has to take its answer
LINGER = 1.0  # seconds it has to take a last one and close
SLOW_MESSAGE = 10.0  # seconds from the first byte of a message to its last
FIRST_MESSAGE = 2.5  # seconds from connecting to the end of the first: who never sends one holds a socket
FRESH = 0.1  # seconds in which a connection that is new, or has had its answer, may have a request on the way
FOR_WORKERS = 0.25  # part of the sockets that clients leave to connections to workers
PART_AFTER = 0.45  # seconds after SIGTERM or `drain`: clients keep coming for 0.4, then idle ones are closed
REFUSE_AFTER = 0.15  # seconds after that: what was on its way has come
KILL_AFTER = 0.7  # seconds after SIGTERM, beside the longest deadline or LONGEST: then it may be killed
LONGEST = 3.0
ANSWER_BEFORE = 0.2  # seconds before that, by which whatever is taken after SIGTERM has its answer
ALONE_BEFORE = 1.2  # seconds before that, when clients are parted with though nobody else was heard
LOOK = 0.02
ACCEPTED_IN_A_TURN = 64  # connections, before others have their turn
ACCEPT_AGAIN = 0.01  # seconds after a failed accept
ACCEPT_FAILURES_MOST = 64  # as the listener closes: it can't wait for better times
REFUSE_DRAINED = 1.9  # seconds after `drain`: who holds a job from the last 2 s is told to go 4 s after it
ALONE_DRAINED = 1.2  # seconds after `drain`, when clients are parted with though nobody else was heard
UP, NEWS = "/up", "/_jobs/news"


class _Peer:
    """A connection from a client, or from a worker that tells its news."""

    def __init__(self, connection: Connection) -> None:
        self.connection = connection
        self.owed = False  # an answer is being made or written
        self.tells_news = False
        self.seen_off = False  # our side has ended: what comes now is not taken, its client sends it again

    @property
    def idle(self) -> bool:
        return not self.owed and not self.connection.partial and self.connection.silent()


class Listener:
    def __init__(
        self,
        config: Config,
        requests: RequestTable,
        news: Callable[[bytes], None],
        ready: Callable[[], bool],
        others: Callable[[], bool],
        timers: TimerWheel,
        budget: DescriptorBudget,
        metrics: Metrics,
    ) -> None:
        self.config = config
        self.requests = requests
        self.news = news
        self.ready = ready
        self.others = others  # whether another dispatcher is there to turn to
        self.timers = timers
        self.budget = budget
        self.metrics = metrics
        self.streams: Streams | None = None  # answers as streams, where they are configured
        self.draining = self.parting = self.refusing = self.ending = False
        self.handed = False  # another process of this dispatcher has the door
        self._leaving: asyncio.Task[None] | None = None
        self.answer_by = math.inf
        self.peers: dict[_Peer, None] = {}  # in the order of their last use
        self.unheard: dict[_Peer, None] = {}  # those that have sent no whole message, in the order they came
        self.leaving: set[_Peer] = set()  # those seen off, until they close as well
        self.classes = {name: i for i, name in enumerate(config.class_names)}
        self.hints = Hints()
        self.tenants = {name: i for i, name in enumerate(config.tenant_names)}
        self._listener: socket.socket | None = None
        self._accepting: asyncio.Task[None] | None = None
        budget.reclaimers.append(self._close_one)

    # ---- connections ---------------------------------------------------------------------------------------

    def listen(self) -> None:
        self._listener = tcp_listener(self.config.listen, "listen", self.config.mgmt is not None)
        self._accepting = self.metrics.spawn(self._accept(self._listener), "accept")

    async def _accept(self, listener: socket.socket) -> None:
        """All who wait are let in at once: after a stop they have waited for long, and their time runs."""
        while True:
            await readable(listener)
            accepted = 0
            while await self._accept_one(listener):
                accepted += 1
                if accepted % ACCEPTED_IN_A_TURN == 0:
                    await asyncio.sleep(0)

    async def _accept_one(self, listener: socket.socket) -> bool:
        """Whether somebody may be there still."""
        while not self._room():
            self.metrics.count_and_log("clients_wait_for_sockets", used=self.budget.used)
            with contextlib.suppress(TimeoutError):
                async with self.timers.timeout(FRESH / 2):  # others may have been still for long enough then
                    await self.budget.wait_for_release()
        try:
            sock, _ = listener.accept()
        except BlockingIOError:
            self.budget.release()
            return False
        except OSError as error:  # that connection has failed, or descriptors are short after all
            self.budget.release()
            self.metrics.count_and_log("accept_failed", why=error)
            await asyncio.sleep(ACCEPT_AGAIN)
            return True
        self._welcome(sock)
        return True

    @property
    def most(self) -> int:
        """Connections that clients may have."""
        limits = self.config.limits
        return min(int((1 - FOR_WORKERS) * self.budget.total), int(limits.connections * self.budget.share))

    def _room(self) -> bool:
        """Take a socket for one more connection. Clients and workers' news come in by the same door: when
        the house is full, somebody who only stands there goes, or those would wait behind a crowd.
        """
        return (len(self.peers) < self.most or self._close_one()) and self.budget.acquire()

    def _welcome(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        peer = _Peer(
            Connection(sock, requests=True, closed=self.budget.release, hold=self.budget.reserve_body_bytes)
        )
        peer.connection.used_at = self.timers.now()
        self.peers[peer] = self.unheard[peer] = None
        self.metrics.count("connections_accepted")
        self.metrics.spawn(self._serve(peer), "connection")

    def _close_one(self) -> bool:
        """First who has never sent a whole message, then who has sent none for the longest."""
        still = self.timers.now() - FRESH
        for peer in chain(self.unheard, self.peers):
            # A request that lies unread counts as taken: only who has sent nothing to this moment goes.
            rests = peer.connection.silent() if peer in self.unheard else peer.idle
            if peer.connection.used_at < still and rests:
                self._forget(peer)
                peer.connection.close()
                self.metrics.count("connections_closed_for_room")
                return True
        return False

    def _forget(self, peer: _Peer) -> None:
        self.peers.pop(peer, None)
        self.unheard.pop(peer, None)

    async def _serve(self, peer: _Peer) -> None:
        connection = peer.connection
        try:
            while True:
                message = await self._next(peer)
                if peer.seen_off:
                    self.metrics.count("requests_after_the_end")
                    continue
                self.unheard.pop(peer, None)
                data, close = await self._respond(peer, message)
                if close:
                    await self._part(peer, data)
                    return
                async with self.timers.timeout(SLOW_WRITE):
                    await connection.send(data)
                peer.owed, connection.used_at = False, self.timers.now()
                connection.release()
                if self.peers.pop(peer, peer) is None:
                    self.peers[peer] = None  # now the last one used
        except BadMessage as error:
            self.metrics.count_and_log("client_message_malformed", why=error)
            await self._part(peer, _problem(error.status, str(error), close=True))
        except (Closed, OSError):  # a time-out is an OSError too
            pass
        except Exception as error:  # a defect here: whoever asked still gets an answer
            self.metrics.log_exception("connection", error)
            await self._part(peer, _problem(500, "internal error", close=True))
        finally:
            peer.owed = False
            self._forget(peer)
            self.leaving.discard(peer)
            connection.close()

    async def _next(self, peer: _Peer) -> Message:
        """The next message. Guards against peers that send a part of one, or nothing, and hold a socket."""
        connection, limit = peer.connection, SLOW_MESSAGE
        if peer in self.unheard:
            limit = FIRST_MESSAGE
        else:
            await connection.begun()
        for wait in (limit, FRESH):
            with contextlib.suppress(TimeoutError):
                async with self.timers.timeout(wait):
                    return await connection.next()
            if connection.silent():  # or this process was late itself, and has not read what had come
                break
        if not connection.partial:
            raise Closed
        raise BadMessage(408, f"the message was not whole after {limit:g} s")

    async def _part(self, peer: _Peer, data: bytes) -> None:
        self.unheard.pop(peer, None)
        peer.owed = True
        try:
            async with self.timers.timeout(LINGER):
                await peer.connection.send(data)
                await peer.connection.linger()
        except OSError:
            pass

    # ---- messages ------------------------------------------------------------------------------------------

    async def _respond(self, peer: _Peer, message: Message) -> tuple[bytes, bool]:
        """The bytes of the answer, and whether the connection ends with it."""
        peer.owed = True
        path = message.target.split(b"?", 1)[0].decode("latin-1")
        if path == NEWS:
            peer.tells_news = True
            if message.method == "POST":
                self.news(message.body)
                return response(204, close=not message.keep_alive), not message.keep_alive
        # An answer to HEAD has no body; ours have one, so the connection ends with it lest it be misread.
        close = self.parting or not message.keep_alive or message.method == "HEAD"
        if path == UP and message.method == "GET":
            up = self.serving
            return response(200 if up else 503, b"up\n" if up else b"not ready\n", close=close), close
        if self.streams is not None and message.method == "GET" and path.startswith("/jobs/"):
            close = close or peer.connection.version != "1.1"
            name = message.headers.get("x-tenant-id")  # a browser's EventSource cannot say it
            tenant = None if name is None else self.tenants.get(name, -1)
            if await self.streams.attach(peer.connection, message, tenant, close):
                return b"", close or self.parting
            return _problem(404, f"{path}: no such stream", close), close
        allowed = "GET" if path == UP else "POST"
        if message.method != allowed:
            if path in (UP, NEWS) or self._class_of(path) is not None:
                return _problem(405, f"{path}: send {allowed}", close, {"Allow": allowed}), close
            return _problem(404, f"{path}: no such path", close), close
        try:
            job = self._job(path, message)
        except BadMessage as error:
            self.metrics.count_and_log("client_request_refused", status=error.status, why=error)
            return _problem(error.status, str(error), close), close
        if self.refusing or job.remaining_s <= 0:
            return written(self.requests.reject(job), True), True
        if self.requests.full:
            self.metrics.count_and_log("requests_over_limit", held=len(self.requests.requests))
            return written(self.requests.reject(job), close), close
        if self.streams is not None and self.streams.asked_for(message):
            close = close or peer.connection.version != "1.1"  # which knows no chunks
            outcome = await self.streams.answer(peer.connection, job, close)
            close = close or self.parting
            return b"" if outcome is None else written(outcome, close), close
        answer = await self._answer(peer, self.requests.take(job, has_client_left=peer.connection.ended))
        close = self.parting or not message.keep_alive
        return written(answer, close), close

    async def _answer(self, peer: _Peer, request: Request) -> Answer:
        """Wait for the answer, with an eye on the client: it may close its connection and be gone."""
        while not request.answer.done():
            reading = peer.connection.reading()
            await asyncio.wait((request.answer, reading), return_when=asyncio.FIRST_COMPLETED)
            if not request.answer.done() and not reading.result():
                request.client_left()
                await request.answer
        answer = request.answer.result()
        if answer.end == RequestEnd.CLIENT_GONE:
            raise Closed
        return answer

    def _class_of(self, path: str) -> int | None:
        return self.classes.get(unquote(path.split("/", 2)[1]) if path.startswith("/") else "")

    def _job(self, path: str, message: Message) -> Job:
        """Check a request; what is wrong with it is named, with a status that no client retries."""
        headers = message.headers
        cls = self._class_of(path)
        if cls is None:
            raise BadMessage(404, f"{path}: no such class of jobs")
        name = headers.get("x-request-id", "")
        if not name:
            raise BadMessage(400, "X-Request-ID is missing")
        if len(name) > 128 or not name.isascii() or not name.replace("-", "").replace("_", "").isalnum():
            raise BadMessage(400, "X-Request-ID: up to 128 letters, digits, - and _ are taken")
        if name in self.requests.requests:
            raise BadMessage(409, "X-Request-ID: a request with this id is in work")
        tenant = 0
        if self.tenants:
            asked = headers.get("x-tenant-id", "")
            if asked not in self.tenants:
                raise BadMessage(400, f"X-Tenant-Id: {asked[:64]!r} is missing or not known")
            tenant = self.tenants[asked]
        wait = headers.get("x-timeout-ms", "")
        if not wait.isascii() or not wait.isdigit() or len(wait) > 9 or not 0 < int(wait) <= MAX_WAIT * 1000:
            raise BadMessage(400, f"X-Timeout-Ms: whole milliseconds, 1 to {MAX_WAIT * 1000:.0f}, are needed")
        key = headers.get("idempotency-key", "")
        if self.config.keyed(cls) and not key:
            raise BadMessage(400, "Idempotency-Key is missing, which jobs of this class carry")
        extras = _extras(headers.get("x-attrs", ""))
        now, patience = self.timers.now(), int(wait) / 1000
        came_at = self.requests.policy_runner.arrivals.earliest(now)
        remaining = min(came_at + patience, self.answer_by) - now
        work = self._work(cls, headers.get("x-cost", ""), patience)
        return Job(
            name,
            cls,
            tenant,
            remaining,
            now,
            message.target,
            message.body,
            key,
            headers.get("x-route-key", ""),
            extras.get("slots", 1.0),
            extras.get("memory", 0.0),
            headers.get("x-retried") == "1",
            work,
            patience,
        )

    def _work(self, cls: int, cost: str, waits: float) -> float:
        """Seconds that the job may take by its client's guess. A bad guess costs no job: it is counted."""
        told = 0.0
        if cost.isascii() and len(cost) <= 32 and cost.replace(".", "", 1).isdigit():
            told = float(cost) / 1e6
        elif cost:
            self.metrics.count_and_log("hint_unread", cost=cost)
        bounded = self.hints.bounded
        work = self.hints.fit(cls, told, waits)
        if self.hints.bounded > bounded:
            self.metrics.count("hints_bounded")
        return work

    # ---- the end -------------------------------------------------------------------------------------------

    @property
    def serving(self) -> bool:
        """What `GET /up` and the operators' `ready` say."""
        return self.ready() and not self.draining

    def drain(self) -> None:
        """Send clients away, and stay: what is in work is answered, and call-backs still come in."""
        if not self.draining:
            self.draining = True
            self._leaving = self.metrics.spawn(self._stay_away(self.timers.now()), "drain")

    async def _stay_away(self, since: float) -> None:
        await self._leave(since + ALONE_DRAINED)
        while True:
            await asyncio.sleep(LOOK)
            self.refusing = self.timers.now() >= since + REFUSE_DRAINED
            self._close_idle_clients()

    async def let_go(self) -> None:
        """Another process of this dispatcher listens here too: it gets whoever comes, and what waits in this
        one's queue is taken before that is closed, or it would be reset.
        """
        self._end_drain()
        self.handed = self.parting = True
        self.draining = self.refusing = False
        if self._listener is not None and not steer_to_second(self._listener):
            self.metrics.count_and_log("steering_refused")
        await asyncio.sleep(LOOK)
        if self.handed:  # the other process may have died meanwhile
            self._stop_listening()
            self._leaving = self.metrics.spawn(self._send_off(), "send off")

    async def _send_off(self) -> None:
        """Who has just come may be about to write; all others come again by the new process."""
        while True:
            self._close_idle_clients(heard=True)
            await asyncio.sleep(LOOK)

    def take_back(self) -> None:
        """The other process has died."""
        self._end_drain()
        self.handed = self.parting = False
        if self._listener is None:
            self.listen()

    def resume(self) -> None:
        self._end_drain()
        self.draining = self.parting = self.refusing = False

    def _end_drain(self) -> None:
        if self._leaving is not None:
            self._leaving.cancel()
            self._leaving = None

    async def _leave(self, part_by: float) -> None:
        """The way out for both `drain` and the end: serve as usual while the front still sends, then part."""
        await asyncio.sleep(PART_AFTER)
        # In a rolling restart the dispatcher before this one may not be back yet: clients parted with then
        # found nobody. The connections that they hold are served until somebody else is there.
        while not self.others() and self.timers.now() < part_by:
            await asyncio.sleep(LOOK)
        self.parting = True
        self._close_idle_clients()

    async def finish(self) -> None:
        """Serve what still comes, part with clients, and return once all is answered."""
        longest = max(cls.deadline_s for cls in self.config.settings.classes)
        end = self.timers.now() + min(longest or LONGEST, LONGEST) + KILL_AFTER
        self.ending = True
        self._end_drain()  # one that has not parted yet starts again: there is time for it
        self.draining, self.answer_by = True, end - ANSWER_BEFORE
        if not self.parting:
            await self._leave(end - ALONE_BEFORE)
        await asyncio.sleep(REFUSE_AFTER)
        self._close_idle_clients()
        self.refusing = True
        # Each call-back comes on a connection of its own: the listener stays as long as one is waited for, or
        # all that is in work would fail. No client counts on it any more; one that comes is refused at once.
        while self.owing:
            await asyncio.sleep(LOOK)
        self._stop_listening()
        while self.owing or self._newcomers():
            await asyncio.sleep(LOOK)
        for peer in list(self.peers):
            self._see_off(peer)
        while self.leaving:  # closed here at once, what is on its way would reset the answers before it
            await asyncio.sleep(LOOK)

    def _newcomers(self) -> bool:
        """Whether somebody came so lately that his request may be on the way."""
        since = self.timers.now() - FRESH
        return any(peer.connection.used_at > since for peer in self.unheard)

    def _close_idle_clients(self, heard: bool = False) -> None:
        for peer in [peer for peer in self.peers if peer.idle and not peer.tells_news]:
            if heard and peer in self.unheard:
                continue
            self._see_off(peer)

    def _see_off(self, peer: _Peer) -> None:
        """End our side, and read until the peer has closed as well. What it sends meanwhile has crossed that
        and is not taken: it comes again elsewhere.
        """
        self._forget(peer)
        peer.seen_off = True
        peer.connection.end()
        self.leaving.add(peer)
        self.timers.after(LINGER, peer.connection.close)

    def _stop_listening(self) -> None:
        """Take what waits in the backlog, since who sent it counts on an answer, and close the listener."""
        if self._listener is None or self._accepting is None:
            return
        self._accepting.cancel()
        self._take_backlog(self._listener)
        close(self._listener)
        self._listener = None

    def _take_backlog(self, listener: socket.socket) -> None:
        """All who wait to be accepted. A call may fail for one of them, or for want of a descriptor, and the
        rest still wait.
        """
        failures = 0
        while failures < ACCEPT_FAILURES_MOST and self.budget.acquire():
            try:
                sock, _ = listener.accept()
            except BlockingIOError:  # nobody is left
                self.budget.release()
                return
            except OSError as error:
                self.budget.release()
                self.metrics.count_and_log("accept_failed", why=error)
                failures += 1
                if error.errno in (errno.EMFILE, errno.ENFILE):
                    self._close_one()
            else:
                self._welcome(sock)

    @property
    def owing(self) -> int:
        detached = self.streams.detached if self.streams is not None else 0
        return detached + sum(not peer.idle for peer in self.peers)


def _extras(text: str) -> dict[str, float]:
    extras = {}
    for part in filter(None, text.split(",")):
        name, _, value = part.partition("=")
        try:
            extras[name.strip()] = float(value)
        except ValueError:
            continue  # a figure of another kind, of no use here
    for name in ("slots", "memory"):
        if not 0.0 <= extras.get(name, 0.0) < 1e6:
            raise BadMessage(400, f"X-Attrs: {name} is out of range")
    return extras


def _problem(status: int, why: str, close: bool, headers: dict[str, str] | None = None) -> bytes:
    return response(status, why.encode("ascii", "backslashreplace") + b"\n", headers, close)


def written(answer: Answer, close: bool) -> bytes:
    if answer.end == RequestEnd.SERVED:
        return response(200, answer.body, close=close)
    if answer.end == RequestEnd.REJECTED:
        after = {"Retry-After": f"{answer.retry_after:.3f}"} if answer.retry_after > 0 else {}
        return response(503, b"refused: try again later\n", after, close)
    assert answer.end == RequestEnd.FAILED
    return response(502, b"failed: the job may have run\n", close=close)
