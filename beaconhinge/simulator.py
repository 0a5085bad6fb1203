"""Adapter for the simulator: reads batches of events from standard input and writes actions as text lines."""

from __future__ import annotations

import sys
import traceback
from collections.abc import Callable
from typing import Any, TextIO

from .policy import interface
from .policy.dispatcher import Dispatcher
from .policy.interface import WIRE_OUTCOMES, AttemptOutcome, UpdateKind, WorkerState


class WireError(Exception):
    """A malformed event or batch. The message names the batch, line and field."""


class _Line:
    """The fields of one line of input. Each is read with its name, which error messages contain."""

    __slots__ = ("location", "parts")

    def __init__(self, location: str, parts: list[str]) -> None:
        self.location = location
        self.parts = parts

    def error(self, name: str, problem: str) -> WireError:
        return WireError(f"{self.location}: {self.parts[0]}: field {name}: {problem}")

    def text(self, position: int, name: str) -> str:
        if position >= len(self.parts):
            raise self.error(name, "missing")
        value = self.parts[position]
        return "" if value == "-" else value

    def integer(self, position: int, name: str, default: int | None = None) -> int:
        value = self.text(position, name)
        if value == "" and default is not None:
            return default
        try:
            return int(value)
        except ValueError:
            raise self.error(name, f"{value!r} is not a whole number") from None

    def number(self, position: int, name: str, default: float | None = None) -> float:
        value = self.text(position, name)
        if value == "" and default is not None:
            return default
        try:
            result = float(value)
        except ValueError:
            raise self.error(name, f"{value!r} is not a number") from None
        if result - result != 0.0:  # it is NaN for NaN and infinity
            raise self.error(name, f"{value!r} is not a finite number")
        return result

    def hex_bytes(self, position: int, name: str) -> bytes:
        try:
            return bytes.fromhex(self.text(position, name))
        except ValueError:
            raise self.error(name, "expected hex digits") from None

    def load(self, position: int, name: str) -> dict[str, float] | None:
        value = self.parts[position] if position < len(self.parts) else "-"
        if value in ("-", ""):
            return None
        try:
            return {key: float(number) for key, _, number in (p.partition(":") for p in value.split(","))}
        except ValueError:
            raise self.error(name, f"{value!r} is not a load report") from None

    def outcome(self, position: int, name: str) -> AttemptOutcome:
        value = self.text(position, name)
        if value not in WIRE_OUTCOMES:
            raise self.error(name, f"{value!r} is not an outcome")
        return AttemptOutcome(value)


def _parse_job(line: _Line) -> interface.JobArrived:
    return interface.JobArrived(
        line.integer(2, "call"),
        line.integer(3, "cls"),
        line.integer(4, "clientGroup", 0),
        line.number(6, "remaining"),
        line.text(5, "routeKey"),
        line.number(7, "sizeHint", 0.0),
        line.number(8, "width", 1.0),
        line.number(9, "memory", 0.0),
        line.integer(10, "flags", 0),
    )


def _parse_attempt_ended(line: _Line) -> interface.AttemptEnded:
    return interface.AttemptEnded(
        line.integer(2, "call"),
        line.integer(3, "worker"),
        line.integer(7, "seqNo"),
        line.outcome(5, "outcome"),
        line.text(6, "settled") == "1",
        line.number(8, "latency", 0.0),
        line.load(9, "pressure"),
        line.integer(4, "detail", 0),
    )


def _parse_progress_notice(line: _Line) -> interface.ProgressNotice:
    return interface.ProgressNotice(
        line.integer(2, "call"),
        line.integer(3, "worker"),
        line.integer(4, "seqNo"),
        line.integer(5, "what"),
        line.number(6, "x", 0.0),
    )


def _parse_stream_started(line: _Line) -> interface.StreamStarted:
    return interface.StreamStarted(
        line.integer(2, "call"),
        line.integer(3, "worker"),
        line.integer(5, "seqNo"),
        line.number(4, "latency", 0.0),
    )


def _parse_peer_message(line: _Line) -> interface.PeerMessage:
    return interface.PeerMessage(line.integer(2, "originPeer"), line.hex_bytes(3, "contents"))


def _parse_probe_result(line: _Line) -> interface.ProbeResult:
    return interface.ProbeResult(
        line.integer(2, "worker"),
        line.outcome(3, "outcome"),
        line.number(4, "latency", 0.0),
        line.load(5, "pressure"),
    )


PARSERS: dict[str, Callable[[_Line], interface.Event]] = {
    "WORK_ITEM": _parse_job,
    "RESOLVED": _parse_attempt_ended,
    "NOTICE": _parse_progress_notice,
    "HEAD_RECEIVED": _parse_stream_started,
    "NEIGHBOUR_SAYS": _parse_peer_message,
    "CHECK_RESULT": _parse_probe_result,
    "REMINDER": lambda line: interface.TimerFired(line.integer(2, "tag")),
    "VANISHED": lambda line: interface.ClientDisconnected(line.integer(2, "call")),
}


def _decimal(value: float) -> str:
    return f"{max(value, 0.0):.6f}".rstrip("0").rstrip(".")


FORMATS: dict[type, Callable[[int, Any], str]] = {
    interface.SendAttempt: lambda i, a: f"TRANSMIT\t{i}\t{a.request}\t{_decimal(a.timeout)}\t{a.worker}\n",
    interface.Reject: lambda i, a: f"DECLINE\t{i}\t{a.request}\t{_decimal(a.retry_after)}\n",
    interface.Fail: lambda i, a: f"ABORT\t{i}\t{a.request}\n",
    interface.CancelAttempt: lambda i, a: f"DROP_ATTEMPT\t{i}\t{a.request}\t{a.attempt}\n",
    interface.SetTimer: lambda i, a: f"NOTIFY_ME\t{i}\t{a.token}\t{_decimal(a.after)}\n",
    interface.SubscribeMembership: lambda i, a: f"STREAM_CHANGES\t{i}\t{int(a.enabled)}\n",
    interface.FetchMembership: lambda i, _: f"LOOKUP\t{i}\n",
    interface.ProbeWorker: lambda i, a: f"INSPECT\t{i}\t{a.worker}\n",
    interface.CloseIdleConnections: lambda i, a: f"LET_GO\t{i}\t{a.worker}\n",
    interface.SendToPeer: lambda i, a: f"BROADCAST_TO\t{i}\t{a.peer}\t{a.payload.hex() or '-'}\n",
    interface.LogMessage: lambda i, a: f"RECORD\t{i}\t{' '.join(a.text.split())}\n",
}


class SimulatorAdapter:
    """Runs all dispatcher instances of one simulator process. Each has its own `Dispatcher`."""

    def __init__(self, source: TextIO, sink: TextIO, errors: TextIO) -> None:
        self.source = source
        self.sink = sink
        self.errors = errors
        self.instances: dict[int, Dispatcher] = {}
        self._unknown_events: set[str] = set()

    def run(self) -> int:
        """Read and answer batches until the input ends.

        Returns:
            The exit status: 0 at the end of the input, 2 if the input is malformed.
        """
        number = 0
        try:
            while True:
                line = self.source.readline()
                if not line:
                    return 0
                number += 1
                number = self._answer_batch(line.rstrip("\n").split("\t"), number)
        except WireError as error:
            print(error, file=self.errors)
            return 2

    def _answer_batch(self, head: list[str], number: int) -> int:
        batch_line = _Line(f"line {number}", head)
        if head[0] != "BATCH":
            raise WireError(f"line {number}: expected BATCH, not {head[0]!r}")
        now = batch_line.number(1, "clock")
        index = batch_line.text(2, "index")
        reply: list[str] = []
        readline = self.source.readline
        parsers = PARSERS
        while True:
            text = readline()
            number += 1
            if not text:
                raise WireError(f"batch {index}, line {number}: the input ended inside a batch")
            parts = text.rstrip("\n").split("\t")
            name = parts[0]
            if name == "YOUR_TURN":
                break
            line = _Line(f"batch {index}, line {number}", parts)
            parser = parsers.get(name)
            if parser is not None:
                self._handle(now, line.integer(1, "dispatcher"), parser(line), reply)
            elif name == "DIRECTORY_UPDATE":
                number = self._update_membership(now, line, index, number, reply)
            elif name == "POWER_ON":
                self._power_on(now, line, reply)
            elif name == "RETIRE":
                self.instances.pop(line.integer(1, "dispatcher"), None)
            elif name not in self._unknown_events:
                self._unknown_events.add(name)
                print(f"{line.location}: {name!r} is not a known event, skipped", file=self.errors)
        reply.append(f"OK\t{index}\n")
        self.sink.write("".join(reply))
        self.sink.flush()
        return number

    def _handle(self, now: float, instance: int, event: interface.Event, reply: list[str]) -> None:
        dispatcher = self.instances.get(instance)
        if dispatcher is None:
            return
        try:
            for action in dispatcher.handle(now, event):
                reply.append(FORMATS[type(action)](instance, action))
        except Exception as error:  # noqa: BLE001 - a failure of one instance must not end the others
            self._report_crash(instance, error, reply)

    def _report_crash(self, instance: int, error: Exception, reply: list[str]) -> None:
        traceback.print_exc(file=self.errors)
        self.instances.pop(instance, None)
        reply.append(f"CRASH\t{instance}\t{' '.join(f'{type(error).__name__}: {error}'.split())}\n")

    def _power_on(self, now: float, line: _Line, reply: list[str]) -> None:
        instance = line.integer(1, "dispatcher")
        seed = line.integer(2, "entropy")
        pairs = {}
        for part in line.parts[3:]:
            key, equals, value = part.partition("=")
            if not equals:
                raise line.error("profileData", f"{part!r} is not a path=value pair")
            pairs[key] = value
        try:
            self.instances[instance] = Dispatcher(interface.Settings.from_pairs(pairs), seed)
        except ValueError as error:
            self._report_crash(instance, error, reply)
            return
        self._handle(now, instance, interface.Start(), reply)

    def _update_membership(self, now: float, line: _Line, index: str, number: int, reply: list[str]) -> int:
        how = line.text(2, "how")
        if how not in frozenset(UpdateKind):
            raise line.error("how", f"{how!r} is not a kind of update")
        members = []
        for _ in range(line.integer(4, "rows", 0)):
            text = self.source.readline()
            number += 1
            parts = text.rstrip("\n").split("\t")
            item = _Line(f"batch {index}, line {number}", parts)
            if parts[0] != "ITEM":
                raise item.error("rows", "there are fewer ITEM lines than this count")
            status = item.text(3, "health")
            if status not in frozenset(WorkerState):
                raise item.error("health", f"{status!r} is not a state of a worker")
            members.append(
                interface.MemberEntry(
                    item.integer(4, "worker"),
                    WorkerState(status),
                    item.integer(1, "classOfHost", 0),
                    item.integer(2, "cluster", 0),
                    item.integer(7, "dc", 0),
                    item.number(5, "scale", 1.0),
                    item.number(6, "onlineSince", 0.0),
                )
            )
        event = interface.MembershipUpdate(UpdateKind(how), line.integer(3, "version", 0), members)
        self._handle(now, line.integer(1, "dispatcher"), event, reply)
        return number


def main() -> int:
    """Serve the simulator on the standard streams. Return the exit status."""
    return SimulatorAdapter(sys.stdin, sys.stdout, sys.stderr).run()


if __name__ == "__main__":
    sys.exit(main())
