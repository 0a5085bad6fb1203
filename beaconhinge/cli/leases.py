"""`beaconhinge leases`: look at leases of the fleet, run a command under one, hand one over."""

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

app = typer.Typer(no_args_is_help=True, help="Look at leases of the fleet, run commands under them.")
Mgmt = Annotated[str, typer.Option("--mgmt", help="A dispatcher's `mgmt` address.")]
AsJson = Annotated[bool, typer.Option("--json", help="For scripts.")]
Name = Annotated[str, typer.Argument(help="The lease, like export.")]
ANSWER = 2.0  # seconds that a dispatcher has to answer a call
AGAIN = 0.25  # seconds between calls that keep a lease
NEXT = 0.75  # seconds after which another slot of a counted lease is tried
TERM_BEFORE = 0.5  # seconds before the lease ends at which the command is asked to end
KILL_BEFORE = 0.1  # and made to


class CallFailed(Error):
    """A call that was refused, or not answered."""


def _call(mgmt: str, line: str) -> str:
    """What stands after SUCCESS, or the shown lines. Raises CallFailed."""
    where = address(mgmt, "--mgmt")
    try:
        with socket.create_connection(where, ANSWER) as sock:
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
    """Leases as one dispatcher knows them.

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
        what = held if lease["held"] else "not held here"
        voted = f"; vote for dispatcher {lease['vote_for']}" if lease["vote_for"] >= 0 else ""
        print(f"{name:24} {what}{voted}")
    return 0


@app.command("hand-over")
def hand_over(name: Name, mgmt: Mgmt) -> int:
    """Have another dispatcher take a lease that this one holds.

    Example: beaconhinge leases hand-over export --mgmt 127.0.0.1:9100
    """
    print(_call(mgmt, f"lease-hand-over {name}"))
    return 0


@app.command("run", context_settings={"ignore_unknown_options": True})
def run(
    name: Name,
    command: Annotated[list[str], typer.Argument(help="After --: what to run.")],
    mgmt: Mgmt,
    slots: Annotated[int, typer.Option(min=1, max=999, help="So many may hold it at once.")] = 1,
    every: Annotated[float, typer.Option(min=0.0, help="Seconds; 0: once.")] = 0.0,
) -> int:
    """Wait for a lease, then run a command under it; the command's exit status, or 1 if the lease was lost.

    It finds the number and the time left in BEACONHINGE_LEASE_NUMBER and BEACONHINGE_LEASE_LEFT_MS, and is
    ended (TERM, then KILL) before the lease is. The lease is held by the dispatcher at --mgmt: to restart
    one, call another.

    Example: beaconhinge leases run restart --slots 2 --mgmt 127.0.0.1:9100 -- systemctl restart dispatcher
    """
    names = [name] if slots == 1 else [f"{name}.{slot}" for slot in random.sample(range(slots), slots)]
    while True:
        status = asyncio.run(_under(names, mgmt, command))
        if not every:
            return status
        time.sleep((math.floor(time.time() / every) + 1) * every - time.time())


def _taken(mgmt: str, name: str) -> tuple[int, float]:
    """The number, 0 while it is waited for, and until when it holds by this process's clock."""
    asked_at = time.monotonic()
    words = _call(mgmt, f"lease-take {name}").split()
    return (int(words[1]), asked_at + int(words[2]) / 1000) if words[0] == "held" else (0, 0.0)


async def _under(names: Sequence[str], mgmt: str, command: Sequence[str]) -> int:
    name, number, end = await _wait(names, mgmt)
    try:
        left = str(max(0, int(1000 * (end - time.monotonic()))))
        process = await asyncio.create_subprocess_exec(
            *command,
            env={
                **os.environ,
                "BEACONHINGE_LEASE": name,
                "BEACONHINGE_LEASE_NUMBER": str(number),
                "BEACONHINGE_LEASE_LEFT_MS": left,
            },
        )
        done, lost = asyncio.create_task(process.wait()), False
        while not done.done():
            await asyncio.wait([done], timeout=AGAIN / 2 if lost else AGAIN)
            if done.done():
                break
            if not lost:
                try:
                    again, until = await asyncio.to_thread(_taken, mgmt, name)
                    end = until if again == number else end
                except CallFailed:
                    pass  # it may answer again before the lease ends
            if time.monotonic() >= end - KILL_BEFORE:
                process.kill()
            elif time.monotonic() >= end - TERM_BEFORE and not lost:
                process.terminate()
            lost = lost or time.monotonic() >= end - TERM_BEFORE
        if lost:
            print(f"beaconhinge: lease {name} was lost; the command was ended", file=sys.stderr)
        return 1 if lost else int(process.returncode or 0)
    finally:
        try:
            _call(mgmt, f"lease-give {name}")
        except CallFailed:
            pass  # it lapses by itself


async def _wait(names: Sequence[str], mgmt: str) -> tuple[str, int, float]:
    turn, since = 0, time.monotonic()
    while True:
        name = names[turn % len(names)]
        number, end = await asyncio.to_thread(_taken, mgmt, name)
        if number and end - time.monotonic() > TERM_BEFORE:
            return name, number, end
        await asyncio.sleep(AGAIN / 5)
        if len(names) > 1 and time.monotonic() - since > NEXT:
            await asyncio.to_thread(_call, mgmt, f"lease-give {name}")
            turn, since = turn + 1, time.monotonic()
