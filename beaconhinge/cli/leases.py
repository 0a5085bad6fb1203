"""`beaconhinge leases`: list the fleet's leases, run a command under a lease, hand a lease over."""

from __future__ import annotations

import asyncio
import json
import math
import os
import random
import socket
import sys
import time
from collections.abc import Sequence
from typing import Annotated, Any

import typer

from ..config.platform import address
from ..errors import Error

app = typer.Typer(no_args_is_help=True, help="List the fleet's leases, run commands under a lease.")
Mgmt = Annotated[str, typer.Option("--mgmt", help="A dispatcher's `mgmt` address.")]
AsJson = Annotated[bool, typer.Option("--json", help="Print JSON, for scripts.")]
Name = Annotated[str, typer.Argument(help="Name of the lease, such as export.")]
CALL_TIMEOUT_S = 2.0  # for each wait in a call to a dispatcher
RENEW_INTERVAL_S = 0.25  # between calls that renew a held lease
SLOT_WAIT_S = 0.75  # after which the next slot of a lease with several slots is tried
TERM_BEFORE_END_S = 0.5  # SIGTERM is sent to the command this long before the lease ends
KILL_BEFORE_END_S = 0.1  # SIGKILL is sent to the command this long before the lease ends


class CallFailed(Error):
    """A dispatcher refused a call or did not answer it."""


def _call(mgmt: str, line: str) -> str:
    """Send an operators' call, and return the text after SUCCESS, or the lines before EOT.

    Raises:
        CallFailed: The answer is FAILURE, or the dispatcher did not accept or answer the call in 2 s.
        ConfigError: `mgmt` is not an address.
    """
    host_and_port = address(mgmt, "--mgmt")
    try:
        with socket.create_connection(host_and_port, CALL_TIMEOUT_S) as sock:
            sock.sendall(line.encode() + b"\n")
            parts = []
            while part := sock.recv(65536):
                parts.append(part)
    except OSError as error:
        raise CallFailed(f"{mgmt}: {error}") from None
    answer = b"".join(parts).decode().strip()
    word, _, rest = answer.partition(" ")
    if word == "FAILURE":
        raise CallFailed(f"{mgmt}: {rest}")
    return rest if word == "SUCCESS" else answer.removesuffix("EOT").strip()


@app.command("list")
def list_(mgmt: Mgmt, as_json: AsJson = False) -> int:
    """List the leases and their members as one dispatcher sees them.

    Example: beaconhinge leases list --mgmt 127.0.0.1:9100
    """
    listing: dict[str, Any] = json.loads(_call(mgmt, "lease-list"))
    if as_json:
        print(json.dumps(listing))
        return 0
    print(
        f"members {' '.join(map(str, listing['members']))} under number {listing['council']}; "
        f"this one votes in {listing['votes_in_s']:g} s"
    )
    for name, lease in listing["leases"].items():
        held = f"held here, number {lease['number']}, {lease['left_s']:g} s left"
        holding = held if lease["held"] else "not held here"
        vote = f"; vote for dispatcher {lease['vote_for']}" if lease["vote_for"] >= 0 else ""
        print(f"{name:24} {holding}{vote}")
    return 0


@app.command("hand-over")
def hand_over(name: Name, mgmt: Mgmt) -> int:
    """Release a lease that the dispatcher at --mgmt holds, so that another dispatcher takes it.

    Example: beaconhinge leases hand-over export --mgmt 127.0.0.1:9100
    """
    print(_call(mgmt, f"lease-hand-over {name}"))
    return 0


@app.command("run", context_settings={"ignore_unknown_options": True})
def run(
    name: Name,
    command: Annotated[list[str], typer.Argument(help="The command to run, after --.")],
    mgmt: Mgmt,
    slots: Annotated[int, typer.Option(min=1, max=999, help="How many may hold the lease at once.")] = 1,
    every: Annotated[
        float, typer.Option(min=0.0, help="Run at each multiple of this many seconds; 0: once.")
    ] = 0.0,
) -> int:
    """Wait for a lease, then run a command while it is held.

    The exit status is the command's, or 1 if the lease was lost.

    The command's environment has the lease's name, its number and the time left in BEACONHINGE_LEASE,
    BEACONHINGE_LEASE_NUMBER and BEACONHINGE_LEASE_LEFT_MS. If the lease is about to end, the command gets
    SIGTERM, then SIGKILL. The lease is held by the dispatcher at --mgmt: to restart a dispatcher, give
    another's address.

    Example: beaconhinge leases run restart --slots 2 --mgmt 127.0.0.1:9100 -- systemctl restart dispatcher
    """
    names = [name] if slots == 1 else [f"{name}.{slot}" for slot in random.sample(range(slots), slots)]
    while True:
        status = asyncio.run(_run_under_lease(names, mgmt, command))
        if not every:
            return status
        time.sleep((math.floor(time.time() / every) + 1) * every - time.time())


def _take(mgmt: str, name: str) -> tuple[int, float]:
    """Take or renew a lease. Return its number and its end on the monotonic clock; (0, 0.0) if not yet held.

    The end counts from before the call, so that the time of the call cannot make it too late.
    """
    called_at = time.monotonic()
    words = _call(mgmt, f"lease-take {name}").split()
    return (int(words[1]), called_at + int(words[2]) / 1000) if words[0] == "held" else (0, 0.0)


async def _run_under_lease(names: Sequence[str], mgmt: str, command: Sequence[str]) -> int:
    """Run a command under one of these leases; return its exit status, or 1 if the lease was lost."""
    name, number, end = await _wait_for_lease(names, mgmt)
    try:
        left_ms = str(max(0, int(1000 * (end - time.monotonic()))))
        process = await asyncio.create_subprocess_exec(
            *command,
            env={
                **os.environ,
                "BEACONHINGE_LEASE": name,
                "BEACONHINGE_LEASE_NUMBER": str(number),
                "BEACONHINGE_LEASE_LEFT_MS": left_ms,
            },
        )
        exited, lost = asyncio.create_task(process.wait()), False
        while not exited.done():
            await asyncio.wait([exited], timeout=RENEW_INTERVAL_S / 2 if lost else RENEW_INTERVAL_S)
            if exited.done():
                break
            if not lost:
                try:
                    renewed_number, renewed_end = await asyncio.to_thread(_take, mgmt, name)
                    end = renewed_end if renewed_number == number else end
                except CallFailed:
                    pass  # the dispatcher may answer the next call before the lease ends
            if time.monotonic() >= end - KILL_BEFORE_END_S:
                process.kill()
            elif time.monotonic() >= end - TERM_BEFORE_END_S and not lost:
                process.terminate()
            lost = lost or time.monotonic() >= end - TERM_BEFORE_END_S
        if lost:
            print(f"beaconhinge: lease {name} was lost; the command was ended", file=sys.stderr)
        return 1 if lost else int(process.returncode or 0)
    finally:
        try:
            _call(mgmt, f"lease-give {name}")
        except CallFailed:
            pass  # the lease lapses by itself


async def _wait_for_lease(names: Sequence[str], mgmt: str) -> tuple[str, int, float]:
    """Wait until one of these leases is held; return its name, number and end on the monotonic clock."""
    index, waiting_since = 0, time.monotonic()
    while True:
        name = names[index % len(names)]
        number, end = await asyncio.to_thread(_take, mgmt, name)
        if number and end - time.monotonic() > TERM_BEFORE_END_S:
            return name, number, end
        await asyncio.sleep(RENEW_INTERVAL_S / 5)
        if len(names) > 1 and time.monotonic() - waiting_since > SLOT_WAIT_S:
            await asyncio.to_thread(_call, mgmt, f"lease-give {name}")
            index, waiting_since = index + 1, time.monotonic()
