"""All requests that the process sends to discovery and to workers in scripted runs, byte for byte.

Only the remaining time of a job is replaced in the bytes. Which of several equal workers gets a job first is
not in the golden files, as it depends on the timing of events.
"""

from __future__ import annotations

import queue
import re
import socket
from pathlib import Path
from typing import Any

import pytest
from golden_files import check_cases
from golden_process import (
    MAX_WAIT_S,
    Discovery,
    Process,
    RecordingServer,
    answer,
    connect,
    host,
    host_list,
    read_message,
    request,
    running,
    settings,
    strip_timings,
    wait_for,
)

pytestmark = pytest.mark.xdist_group("processes")


class Workers:
    """Equal workers, and the requests that they receive, in order of arrival.

    There are more workers than faults in a run, so that faults never eject all of them.
    """

    def __init__(self, count: int = 12) -> None:
        self.received: queue.Queue[tuple[int, bytes]] = queue.Queue()
        self.answers: list[bytes | None] = []  # to the next jobs; after these, each job is accepted
        self.servers = [RecordingServer(lambda message, i=i: self._serve(i, message)) for i in range(count)]

    def _serve(self, number: int, message: bytes) -> bytes | None:
        self.received.put((number, message))
        if not message.startswith(b"POST"):
            return answer(200, b"err_ps=0,x0=4")
        return self.answers.pop(0) if self.answers else answer(202)

    def next(self) -> tuple[int, bytes]:
        """Return the index of the worker that received the next request, and the request."""
        return self.received.get(timeout=MAX_WAIT_S)

    def hosts(self, **changes: Any) -> list[dict[str, Any]]:
        """Return the workers' entries in discovery's list."""
        return [host(f"s-{i}", server.port, **changes) for i, server in enumerate(self.servers)]


class Run:
    """Runs jobs one after the other, and records the messages that belong to each."""

    def __init__(self, process: Process, workers: Workers) -> None:
        self.process = process
        self.workers = workers
        self.found: dict[str, object] = {}

    def play(self, name: str, data: bytes, *steps: tuple[str, Any]) -> None:
        """Send a request, take the steps, and record the messages that are received under `name`."""
        seen: list[object] = []
        first = -1  # index of the worker of the first attempt
        current = -1  # index of the worker of the last attempt
        request_id = re.search(rb"X-Request-ID: (\S+)", data)
        assert request_id is not None
        with connect(self.process.port) as client:
            client.sendall(data)
            for step, content in steps:
                if step == "attempt":
                    current, message = self.workers.next()
                    seen.append(f"to {'the first worker' if first in (-1, current) else 'another worker'}")
                    first = current if first == -1 else first
                    seen.append(lines(strip_timings(message)))
                elif step == "call-back":
                    reply = self.process.send_callback(request_id[1].decode(), f"s-{current}", **content)
                    seen += [f"call-back {content} is answered", lines(reply)]
                elif step == "answer":
                    seen += ["the client is answered", lines(strip_timings(read_message(client)))]
                elif step == "nobody waits":
                    wait_for(
                        lambda: self.process.show_stat()["inflight"] == 0, "a job that counts as abandoned"
                    )
                elif step == "leave":
                    seen.append("the client leaves")
                    client.shutdown(socket.SHUT_RDWR)
        assert self.workers.received.empty()
        self.found[name] = seen


def lines(data: bytes) -> list[str]:
    """Return bytes as text lines with their line ends."""
    return data.decode("latin-1").splitlines(keepends=True)


ATTEMPT, ANSWER, LEAVE = ("attempt", None), ("answer", None), ("leave", None)


def call_back(state: str, **content: Any) -> tuple[str, Any]:
    """Return the step in which the worker of the last attempt sends a call-back."""
    return "call-back", {"state": state, **content}


DONE = call_back("done", result="made", load={"err_ps": 0.0, "x0": 3})


def test_messages_to_workers_are_unchanged(tmp_path: Path) -> None:
    workers = Workers()
    discovery = Discovery(workers.hosts())
    process = Process(tmp_path, discovery.port, settings=settings(policyLimits__maxAttempts=3))
    with running(process, discovery, *workers.servers):
        process.wait_until_ready()
        run = Run(process, workers)
        not_processed = answer(503, X_Not_Processed="1", X_Server_Load="err_ps=0,x0=0")
        run.play("served", request(X_Request_ID="a1"), ATTEMPT, call_back("started"), DONE, ANSWER)
        run.play(
            "all call-backs of a job that is served",
            request(
                "/render/some%20path?a=1&b=2",
                b"\x00\xff\r\n",
                X_Request_ID="a2",
                X_Cost="1500",
                X_Route_Key="k",
            ),
            ATTEMPT,
            call_back("started"),
            call_back("running", share=0.25),
            call_back("running", share=2),
            call_back("running"),
            call_back("dancing"),
            call_back("done"),
            DONE,
            call_back("done", result="late"),
            ANSWER,
        )
        run.play("no body", request(body=b"", X_Request_ID="a3"), ATTEMPT, DONE, ANSWER)
        run.play(
            "a keyed job",
            request(
                "/publish", X_Request_ID="a4", X_Tenant_Id="umbrella", Idempotency_Key="key 1", X_Retried="1"
            ),
            ATTEMPT,
            DONE,
            ANSWER,
        )
        for number, state in enumerate(("returned", "lost", "failed")):
            run.play(
                f"a repeatable job that a worker tells as {state} goes to the other",
                request(X_Request_ID=f"b{number}"),
                ATTEMPT,
                call_back(state, load={"err_ps": 0.0, "x0": 2}),
                ATTEMPT,
                DONE,
                ANSWER,
            )
        for number, (name, reply) in enumerate(
            {
                "503 not processed": not_processed,
                "504 not processed": answer(504, X_Not_Processed="1"),
                "503": answer(503),
                "500": answer(500, b"why"),
                "429": answer(429),
                "a broken connection": None,
                "an answer that is no HTTP": b"nonsense\r\n\r\n",
            }.items()
        ):
            workers.answers = [reply]
            run.play(
                f"a repeatable job answered by {name} goes to the other",
                request(X_Request_ID=f"c{number}"),
                ATTEMPT,
                ATTEMPT,
                DONE,
                ANSWER,
            )
        workers.answers = [not_processed]
        run.play(
            "a keyed job that was not processed goes to the other",
            request("/publish", X_Request_ID="d1", Idempotency_Key="key-2"),
            ATTEMPT,
            ATTEMPT,
            DONE,
            ANSWER,
        )
    check_cases("sent_to_workers.json", run.found)


def test_messages_of_abandoned_jobs_are_unchanged(tmp_path: Path) -> None:
    workers = Workers(2)
    discovery = Discovery(workers.hosts())
    process = Process(tmp_path, discovery.port)
    with running(process, discovery, *workers.servers):
        process.wait_until_ready()
        run = Run(process, workers)
        run.play(
            "a job whose time runs out",
            request(X_Request_ID="e2", X_Timeout_Ms="500"),
            ATTEMPT,
            ATTEMPT,
            ANSWER,
        )
        run.play(
            "a client that leaves", request(X_Request_ID="e1"), ATTEMPT, LEAVE, ("nobody waits", None), DONE
        )
    check_cases("sent_when_given_up.json", run.found)


def test_hedged_copy_and_its_withdrawal_are_unchanged(tmp_path: Path) -> None:
    workers = Workers()
    discovery = Discovery(workers.hosts())
    first, second = settings()["requestClasses"]
    changes = settings(policyLimits__mayDuplicate=True, requestClasses=[{**first, "aim": 0.25}, second])
    process = Process(tmp_path, discovery.port, settings=changes)
    found: list[object] = []
    with running(process, discovery, *workers.servers):
        process.wait_until_ready()
        for number in range(5):  # a copy is sent only once the process knows how long jobs take
            run_job(process, workers, f"f{number}")
        with connect(process.port) as client:
            client.sendall(request(X_Request_ID="f9"))
            original, message = workers.next()
            found += ["the job", strip_timings(message)]
            copy, message = workers.next()
            found += ["its copy", strip_timings(message)]
            assert copy != original
            process.send_callback("f9", f"s-{copy}", state="done", result="made")
            found += ["the client is answered", read_message(client)]
            withdrawn, message = workers.next()
            found += ["the job is withdrawn", message]
            assert withdrawn == original
    check_cases("sent_with_copies.json", {"a job that is copied": found})


def run_job(process: Process, workers: Workers, request_id: str) -> None:
    """Send a request and have its worker report the job as done at once."""
    with connect(process.port) as client:
        client.sendall(request(X_Request_ID=request_id))
        worker, _ = workers.next()
        process.send_callback(request_id, f"s-{worker}", state="done", result="made")
        read_message(client)


@pytest.mark.parametrize("reports", ["answers", "none"])
def test_probes_are_unchanged(reports: str, tmp_path: Path) -> None:
    workers = Workers(2)
    discovery = Discovery(workers.hosts())
    changes = settings(
        groupSize=3,
        policyLimits__probes=True,
        report={"names": ["err_ps", "x0"], "source": reports},
    )
    process = Process(tmp_path, discovery.port, settings=changes)
    with running(process, discovery, *workers.servers):
        process.wait_until_ready()
        messages: dict[bytes, None] = {}

        def probed() -> list[bytes]:
            process.exchange(request(X_Timeout_Ms="100"))
            while not workers.received.empty():
                messages[strip_timings(workers.received.get()[1])] = None
            return [message for message in messages if message.startswith(b"GET")]

        wait_for(probed, "a probe")
        found = [message for message in messages if message.startswith((b"GET", b"POST"))]
    check_cases(
        f"probes_{reports}.json", {"all kinds of requests, in the order of their bytes": sorted(found)}
    )


@pytest.mark.parametrize("mode", ["on_request", "pushed"])
def test_requests_to_discovery_are_unchanged(mode: str, tmp_path: Path) -> None:
    """Each answer is followed by the next request; the lengths of waits differ between runs and are replaced.

    Beside the watch the whole list is read as often as time allows; it then has the last answer's version.
    """
    servers = [host("s-0", 9), host("s-1", 10)]
    replies = [
        host_list(3, servers),
        answer(503),
        host_list(4, [host("s-2", 11)], full=False),
        host_list(2, servers),  # older than the present list: the whole list is read beside the next watch
        host_list(5, servers, full=False),
        answer(200, b'{"version": 6, "full": false, "servers": [{"id": "s-0", "state": "Gone"}, {"id'),
        host_list(7, servers[1:]),
        answer(200, b"{}"),
        host_list(7, [], full=False),
        None,
        host_list(8, servers),
        None,
        host_list(9, servers),
    ]
    whole_lists = {
        9: servers,
        8: servers,
        7: servers[1:],
        5: servers,
        4: [*servers, host("s-2", 11)],
        3: servers,
    }
    # By version: the number of watch calls after which a read of the whole list returns it.
    watch_calls_before = {9: 13, 8: 11, 7: 7, 5: 5, 4: 3, 3: 1}
    seen: list[object] = []
    reads: set[bytes] = set()

    def read_reply() -> bytes:
        version = next(version for version, calls in watch_calls_before.items() if len(seen) >= calls)
        return host_list(version, whole_lists[version])

    def script(message: bytes) -> bytes | None:
        wait = re.search(rb"wait=(\d+)", message)
        if wait is None:
            reads.add(message)
            return read_reply()
        kind = b"0" if wait[1] == b"0" else b"(some time)"
        seen.append(re.sub(rb"wait=\d+", b"wait=" + kind, message))
        number = len(seen)
        return replies[number - 1] if number <= len(replies) else None

    discovery = RecordingServer(script)
    known = {"version": 1, "full": True, "servers": servers[:1]}
    process = Process(tmp_path, discovery.port, settings=settings(membershipMode=mode), known=known)
    with running(process, discovery):
        wait_for(lambda: reads and len(seen) > len(replies), "all requests to discovery")
    found = {"requests": seen[: len(replies) + 1], "reads": sorted(reads)}
    check_cases(f"sent_to_discovery_{mode}.json", found)
