"""A small fleet in virtual time that sends events to the `sim` adapter and carries out its actions.

Everything is drawn from one seed and follows from the adapter's replies, so equal replies give equal event
streams. Times in the streams are seconds.
"""

from __future__ import annotations

import collections
import heapq
import random
import shlex
import subprocess
import sys
import tomllib
from pathlib import Path

BATCH_EVERY_S = 0.02
FAULTS_PER_S = 2.5
CLASSES = (("retryable", 0.3, 2.0), ("dedup", 0.8, 4.0), ("fragile", 1.5, 6.0))


class Adapter:
    """A process of the `sim` command that deploy/balancer.toml of a checkout names."""

    def __init__(self, tree: Path) -> None:
        command = tomllib.loads((tree / "deploy" / "balancer.toml").read_text())["sim"]
        command = command.replace(".venv/bin/python", shlex.quote(sys.executable))
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=tree, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )

    def reply(self, batch: str) -> list[str]:
        """Send a batch and return the lines of the reply without its last; of RECORD lines, two fields."""
        assert self.process.stdin is not None
        assert self.process.stdout is not None
        self.process.stdin.write(batch)
        self.process.stdin.flush()
        lines = []
        while not (line := self.process.stdout.readline()).startswith("OK\t"):
            assert line, f"the adapter ended in the batch that begins {batch[:60]!r}"
            fields = line.rstrip("\n").split("\t")
            lines.append("\t".join(fields[:2] if fields[0] == "RECORD" else fields))
        return lines

    def close(self) -> None:
        """Kill the process."""
        self.process.kill()
        self.process.communicate()


def settings_pairs(group_size: int, *, pushed: bool, peers: bool) -> dict[str, object]:
    """Return the settings by path."""
    pairs: dict[str, object] = {
        "groupSize": group_size,
        "requestClasses.count": len(CLASSES),
        "orgs.count": 2,
        "membershipMode": "pushed" if pushed else "on_request",
        "dcs": "a,b",
        "kinds": "k,l",
        "clients.marksRetry": "true",
        "overShareWorth": 0.1,
        "costs.waste": 0.04,
        "costs.crossZone": 0.03,
        "costs.handshake": 0.02,
        "costs.peer": 0.01,
        "policyLimits.cancel": "true",
        "policyLimits.mayDuplicate": "true",
        "policyLimits.peers": str(peers).lower(),
        "policyLimits.probes": str(not peers).lower(),
        "policyLimits.retryAfter": "true",
        "policyLimits.maxRetryAfter": 2.0,
        "policyLimits.maxAttempts": 4,
        "policyLimits.connectTimeout": 0.25,
        "policyLimits.idleClose": 5.0,
        "policyLimits.mostHeld": 2000,
        "familyInfo.progress": 0.3,
        "familyInfo.tellsStart": "true",
        "familyInfo.reportX0": "free_slots",
        "familyInfo.classKind": "-1,0,-1",
        "familyInfo.classStretch": "2.0,2.0,2.0",
        "report.source": "answers",
        "report.names": "depth,x0",
        "rules.graceToAnswer": 0.5,
        "rules.mustAskIn": 3.0,
        "rules.drainGrace": 0.4,
        "rules.coldShare": 0.2,
        "rules.warmWithin": 4.0,
        "rules.fallMultiple": 1.5,
        "rules.tipAfter": 0.5,
        "rules.drainRelease": 0.4,
        "quantum": 0.001,
        "orgs.0.share": 0.5,
        "orgs.0.quotaRps": 20.0,
        "orgs.1.share": 0.5,
        "orgs.1.quotaRps": 200.0,
    }
    for number, (semantics, aim, hard_limit) in enumerate(CLASSES):
        pairs |= {
            f"requestClasses.{number}.aim": aim,
            f"requestClasses.{number}.hardLimit": hard_limit,
            f"requestClasses.{number}.semantics": semantics,
            f"requestClasses.{number}.dedupWindow": 3.0,
            f"requestClasses.{number}.group": "cell",
            f"requestClasses.{number}.lateWorth": 0.3,
            f"requestClasses.{number}.importance": 1 + number,
        }
    return pairs


class Worker:
    """A worker with slots; further jobs queue, and beyond twice as many jobs as slots they are rejected."""

    def __init__(self, number: int, index: int, rng: random.Random) -> None:
        self.number = number
        self.slots = rng.choice([2, 4, 8])
        self.busy = 0
        self.kind, self.cell, self.zone = index % 2, index % 3, index % 2
        self.state = "U"
        self.started_at = 0.0
        self.fault_share = rng.choice([0, 0, 0, 0, 0.3, 0.9])

    def list_entry(self) -> str:
        """Return the worker's line in a list of workers."""
        fields = (self.kind, self.cell, self.state, self.number, 1, f"{self.started_at:.3f}", self.zone)
        return "\t".join(("ITEM", *map(str, fields)))


class Request:
    """A client's request."""

    def __init__(self, dispatcher: int, deadline: float, work: float) -> None:
        self.dispatcher = dispatcher
        self.deadline = deadline
        self.work = work
        self.attempts = 0
        self.finished = False


class Fleet:
    """Dispatchers, workers and clients; events are queued until the batch of their time."""

    def __init__(self, group_size: int, seed: int, *, rate: float, pushed: bool, peers: bool = True) -> None:
        self.rng = random.Random(seed)
        self.settings = settings_pairs(group_size, pushed=pushed, peers=peers)
        self.group_size = group_size
        self.rate = rate
        self.now, self.batch_number, self._order = 100.0, 0, 0
        self.queue: list[tuple[float, int, int, str]] = []  # time, order, dispatcher, lines
        self.requests: dict[int, Request] = {}
        count = max(6, min(24, 2 * group_size))
        self.workers = {1000 + 7 * i: Worker(1000 + 7 * i, i, self.rng) for i in range(count)}
        self.version = 1
        self.subscribed: set[int] = set()
        self.actions: collections.Counter[str] = collections.Counter()
        self._next_arrival = self.now + 0.5
        for dispatcher in range(group_size):
            self.power_on(dispatcher)

    def schedule(self, after: float, dispatcher: int, lines: str) -> None:
        """Queue an event for a dispatcher, to be sent after this many seconds."""
        self._order += 1
        heapq.heappush(self.queue, (self.now + after, self._order, dispatcher, lines))

    def list_workers(self, after: float, dispatcher: int, kind: str, numbers: list[int]) -> None:
        """Queue a list update of this kind with these workers."""
        rows = [self.workers[number].list_entry() for number in numbers]
        head = f"DIRECTORY_UPDATE\t{dispatcher}\t{kind}\t{self.version}\t{len(rows)}"
        self.schedule(after, dispatcher, "\n".join([head, *rows]))

    def listed(self) -> list[int]:
        """Return the numbers of the workers that are not gone."""
        return [number for number, worker in self.workers.items() if worker.state != "D"]

    def power_on(self, dispatcher: int) -> None:
        """Start a dispatcher with the present list of workers."""
        pairs = {**self.settings, "myNumber": dispatcher, "zone": dispatcher % 2}
        fields = "\t".join(f"{key}={value}" for key, value in pairs.items())
        self.schedule(0, dispatcher, f"POWER_ON\t{dispatcher}\t{self.rng.getrandbits(50)}\t{fields}")
        self.list_workers(0, dispatcher, "remembered", self.listed())

    def inject_fault(self) -> None:
        """Change a worker's state or fault share, restart a dispatcher, or have discovery refuse a watch."""
        rng, chance = self.rng, self.rng.random()
        worker = self.workers[rng.choice(list(self.workers))]
        if chance < 0.5:
            not_ready = [number for number, other in self.workers.items() if other.state != "U"]
            if not_ready and rng.random() < 0.6:
                worker = self.workers[rng.choice(not_ready)]
            worker.state = {"U": "L", "L": "D", "D": "U"}[worker.state]
            if worker.state == "U":
                worker.started_at, worker.fault_share = self.now, 0
            self.version += 1
            for dispatcher in range(self.group_size):
                if self.settings["membershipMode"] == "pushed" or dispatcher in self.subscribed:
                    self.list_workers(rng.uniform(0.0, 0.3), dispatcher, "changes", [worker.number])
        elif chance < 0.85:
            worker.fault_share = rng.choice([0, 0, 0.2, 1.0])
        elif chance < 0.95 and self.group_size > 1:
            self.restart(rng.randrange(self.group_size))
        elif self.subscribed:
            dispatcher = rng.choice(sorted(self.subscribed))
            self.subscribed.discard(dispatcher)
            self.list_workers(0, dispatcher, "refused", [])

    def restart(self, dispatcher: int) -> None:
        """Stop a dispatcher, drop its queued events and unfinished requests, and start it again."""
        self.queue = [event for event in self.queue if event[2] != dispatcher]
        heapq.heapify(self.queue)
        self.subscribed.discard(dispatcher)
        for request in self.requests.values():
            request.finished |= request.dispatcher == dispatcher
        self.schedule(0, dispatcher, f"RETIRE\t{dispatcher}")
        self.power_on(dispatcher)

    def send_request(self) -> None:
        """Send a client's request to a dispatcher; some clients disconnect early."""
        rng = self.rng
        class_number = rng.randrange(len(CLASSES))
        dispatcher = int(self.group_size * rng.random() ** 1.6)
        number = len(self.requests) + 1
        work = rng.expovariate(1 / 0.12)
        time_left = CLASSES[class_number][2] * rng.choice([1, 1, 1, 0.4])
        self.requests[number] = Request(dispatcher, self.now + time_left, work)
        hint = f"{work * rng.uniform(0.7, 1.4):.4f}" if rng.random() < 0.7 else "-"
        fields = (
            dispatcher,
            number,
            class_number,
            rng.randrange(2),
            f"k{number % 50}",
            f"{time_left:.4f}",
            hint,
            1,
            "-",
        )
        flags = rng.choice([0, 0, 0, 2])
        self.schedule(0, dispatcher, "\t".join(("WORK_ITEM", *map(str, fields), str(flags))))
        self.schedule(time_left + 0.3, dispatcher, f"VANISHED\t{dispatcher}\t{number}")
        if rng.random() < 0.05:
            self.schedule(time_left * rng.random(), dispatcher, f"VANISHED\t{dispatcher}\t{number}")

    def transmit(self, dispatcher: int, number: int, timeout: float, worker_number: int) -> None:
        """Send an attempt to a worker: draw its outcome and duration, and queue the event of its end."""
        rng, request = self.rng, self.requests[number]
        attempt, request.attempts = request.attempts, request.attempts + 1
        worker = self.workers.get(worker_number)
        duration, outcome = 0.002, "served"
        limit = min(timeout or 60.0, max(request.deadline - self.now, 0.0))
        if request.finished:
            outcome = "not_sent"
        elif worker is None or worker.state == "D":
            outcome = "no_connection"
        elif worker.busy >= 2 * worker.slots:
            outcome = "turned_away"
        elif rng.random() < worker.fault_share:
            outcome = rng.choice(["server_error", "no_answer", "connection_lost", "no_connection"])
            duration = rng.uniform(0.01, 0.4)
        else:
            queueing = max(0, worker.busy - worker.slots) * 0.05
            duration = queueing + request.work * (3 if self.now - worker.started_at < 4 else 1)
            self.notice(dispatcher, number, worker_number, attempt, queueing, min(duration, limit))
        if duration > limit or outcome == "no_answer":
            duration, outcome = limit, "no_answer"
        load = "-"
        if worker is not None:
            worker.busy += outcome in ("served", "no_answer")
            load = f"depth:{max(0, worker.busy - worker.slots)},x0:{max(0, worker.slots - worker.busy)}"
        fields = (dispatcher, number, worker_number, "-", outcome, "?", attempt, f"{duration:.4f}", load)
        self.schedule(duration, dispatcher, "\t".join(("RESOLVED", *map(str, fields))))

    def notice(
        self, dispatcher: int, request: int, worker: int, attempt: int, starts: float, ends: float
    ) -> None:
        """Queue a worker's notices that a job has started and how far it is."""
        if starts >= ends:
            return
        head = f"NOTICE\t{dispatcher}\t{request}\t{worker}\t{attempt}"
        self.schedule(starts + 0.001, dispatcher, f"{head}\t1\t0")
        for step in range(1, int((ends - starts) / 0.3)):
            self.schedule(starts + step * 0.3, dispatcher, f"{head}\t2\t{step * 0.3 / (ends - starts):.3f}")

    def act(self, line: str) -> None:
        """Carry out one of the adapter's actions."""
        name, *fields = line.split("\t")
        self.actions[name] += 1
        dispatcher = int(fields[0])
        if name == "TRANSMIT":
            self.transmit(dispatcher, int(fields[1]), float(fields[2]), int(fields[3]))
        elif name in ("DECLINE", "ABORT"):
            self.requests[int(fields[1])].finished = True
        elif name == "DROP_ATTEMPT":
            self.drop(dispatcher, fields[1], fields[2])
        elif name == "NOTIFY_ME":
            self.schedule(max(float(fields[2]), 0.001), dispatcher, f"REMINDER\t{dispatcher}\t{fields[1]}")
        elif name in ("STREAM_CHANGES", "LOOKUP"):
            if self.rng.random() < 0.1:
                self.list_workers(0.05, dispatcher, "refused", [])
                return
            if name == "STREAM_CHANGES":
                self.subscribed.add(dispatcher)
            self.list_workers(0.02, dispatcher, "all", self.listed())
        elif name == "INSPECT":
            self.schedule(
                0.01, dispatcher, f"CHECK_RESULT\t{dispatcher}\t{fields[1]}\tserved\t0.0100\tdepth:0,x0:2"
            )
        elif name == "BROADCAST_TO":
            for to in range(self.group_size) if fields[1] == "-1" else [int(fields[1])]:
                if to != dispatcher and self.rng.random() > 0.03:
                    after = self.rng.uniform(0.001, 0.02)
                    self.schedule(after, to, f"NEIGHBOUR_SAYS\t{to}\t{dispatcher}\t{fields[2]}")

    def drop(self, dispatcher: int, request: str, attempt: str) -> None:
        """Cancel an attempt: its end is reported as called off, 1 ms from now."""
        for index, (_, order, to, lines) in enumerate(self.queue):
            event = lines.split("\t")
            if to == dispatcher and event[0] == "RESOLVED" and (event[2], event[7]) == (request, attempt):
                event[5] = "called_off"
                self.queue[index] = (self.now + 0.001, order, to, "\t".join(event))
                heapq.heapify(self.queue)
                return

    def next_batch(self) -> str:
        """Return the batch of events for the dispatchers at this time."""
        while self._next_arrival <= self.now:
            self.send_request()
            self._next_arrival += self.rng.expovariate(self.rate)
        if self.rng.random() < FAULTS_PER_S * BATCH_EVERY_S:
            self.inject_fault()
        lines = []
        while self.queue and self.queue[0][0] <= self.now:
            event = heapq.heappop(self.queue)[3]
            if event.startswith("RESOLVED"):
                event = self.resolve(event)
            elif event.startswith("VANISHED"):
                request = self.requests[int(event.split("\t")[2])]
                if request.finished:
                    continue
                request.finished = True
            lines.append(event)
        self.batch_number += 1
        return "\n".join([f"BATCH\t{self.now:.6f}\t{self.batch_number}", *lines, "YOUR_TURN"]) + "\n"

    def resolve(self, event: str) -> str:
        """Return an attempt's outcome, completed with whether its request is finished."""
        fields = event.split("\t")
        request, worker = self.requests[int(fields[2])], self.workers.get(int(fields[3]))
        if worker is not None and fields[5] in ("served", "no_answer", "called_off"):
            worker.busy = max(0, worker.busy - 1)
        request.finished |= fields[5] == "served"
        fields[6] = str(int(request.finished))
        return "\t".join(fields)

    def play(self, adapter: Adapter, seconds: float) -> list[list[str]]:
        """Run for seconds of virtual time, and return the replies to all batches."""
        replies = []
        end = self.now + seconds
        while self.now < end:
            reply = adapter.reply(self.next_batch())
            replies.append(reply)
            for line in reply:
                assert not line.startswith("CRASH"), line
                if not line.startswith("RECORD"):
                    self.act(line)
            self.now += BATCH_EVERY_S
        return replies
