"""Leases in a dispatcher process and its successor: upgrades, duplicate names, reloads, commands."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from beaconhinge.cli import main
from beaconhinge.config import ConfigError
from beaconhinge.config.local import convert
from beaconhinge.standin.harness import DemoFleet, end, log_lines, start, until_up
from beaconhinge.standin.ports import free_port
from beaconhinge.standin.rig.verdict import Act, lease_violations

SPAN = 0.6


class LeaseFleet(DemoFleet):
    """A demo fleet whose dispatcher is the only member, calls a resource, and takes operators' calls.

    Attributes:
        mgmt: Management ports of the two processes.
        acts: The acts that the resource has recorded.
        number: Number of the council in the configuration.
        to: Port of the resource.
    """

    def __init__(self, folder: Path) -> None:
        super().__init__(2, 5.0, 5, folder)
        self.mgmt = [free_port(), free_port()]
        self.peers = f"127.0.0.1:{free_port()}"
        self.acts: list[Act] = []
        self.number = 1
        self.to = 1

    def write(self, which: int) -> Path:
        """Write the configuration of one of two processes, which differ in `mgmt` alone; return its path."""
        file = self.folder / f"balancer-{which}.json"
        file.write_text(
            json.dumps(
                self.platform(
                    mgmt=f"127.0.0.1:{self.mgmt[which]}",
                    peer_listen=self.peers,
                    peers=[self.peers],
                    peers_all=self.peers,
                )
            )
        )
        local_config = self.folder / f"edge-{which}.toml"
        local_config.write_text(
            f'[platform]\nconfig = "{file.name}"\n[log]\nformat = "json"\n[leases]\nenabled = true\n'
            f'number = {self.number}\nspan_s = {SPAN}\n[[leases.calls]]\nname = "export"\n'
            f'to = "127.0.0.1:{self.to}"\nevery_s = 0.05\nlongest_s = 0.2\n'
        )
        return local_config

    async def begin(self) -> None:
        self.resource = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "beaconhinge.standin.resource", "1", stdout=asyncio.subprocess.PIPE
        )
        assert self.resource.stdout is not None
        self.to = json.loads(await self.resource.stdout.readline())["port"]
        for server in (self.discovery.server, *(worker.server for worker in self.workers)):
            server.start()
        self.discovery.server.spawn(self.read(self.resource.stdout))

    async def read(self, lines: asyncio.StreamReader) -> None:
        async for line in lines:
            self.acts.append(Act(**json.loads(line)))

    async def process(self, which: int, tmp: Path, up: bool = True) -> tuple[Any, list[dict[str, Any]]]:
        process = await start({"BEACONHINGE_CONFIG": str(self.write(which)), "TMPDIR": str(tmp)})
        lines: list[dict[str, Any]] = []

        async def read() -> None:
            async for line in log_lines(process):
                lines.append(line)

        self.discovery.server.spawn(read())
        if up:
            await until_up(process, self.port, lines)
        return process, lines

    async def call(self, line: str, which: int = 0) -> str:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.mgmt[which])
        writer.write(line.encode() + b"\n")
        answer = (await asyncio.wait_for(reader.read(), 5)).decode()
        writer.close()
        return answer


async def wait_until(condition: Callable[[], Any], seconds: float = 8.0) -> None:
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.02)


def run_fleet(folder: Path, scenario: Callable[[LeaseFleet], Awaitable[None]]) -> LeaseFleet:
    async def run() -> LeaseFleet:
        fleet = LeaseFleet(folder)
        await fleet.begin()
        try:
            await scenario(fleet)
        finally:
            fleet.resource.kill()
            await fleet.resource.wait()
            for server in (fleet.discovery.server, *(worker.server for worker in fleet.workers)):
                await server.stop()
            for worker in fleet.workers:
                worker.close()
        return fleet

    return asyncio.run(run())


def test_upgrade_hands_the_lease_over_without_overlapping_acts(tmp_path: Path) -> None:
    """The old process must stop acting before the new one begins; the new one must not wait for the port."""

    async def scenario(fleet: LeaseFleet) -> None:
        old, _ = await fleet.process(0, tmp_path)
        await wait_until(lambda: len(fleet.acts) > 5)
        new, lines = await fleet.process(1, tmp_path)
        await wait_until(lambda: any(line["event"] == "lease_held" for line in lines))
        count = len(fleet.acts)
        await wait_until(lambda: len(fleet.acts) > count + 5)
        assert await end(old) == 0
        count = len(fleet.acts)
        await wait_until(lambda: len(fleet.acts) > count + 5)
        assert not any(line["event"] == "leases_port_taken" for line in lines)
        assert await end(new) == 0

    fleet = run_fleet(tmp_path, scenario)
    assert lease_violations(fleet.acts) == []
    assert len({act.number for act in fleet.acts}) >= 2


def test_second_process_of_one_name_waits_until_the_first_has_ended(tmp_path: Path) -> None:
    """Two processes of one member could vote twice, so the second one must neither vote nor hold a lease."""

    async def scenario(fleet: LeaseFleet) -> None:
        (tmp_path / "a").mkdir()
        (tmp_path / "b").mkdir()
        first, _ = await fleet.process(0, tmp_path / "a")
        await wait_until(lambda: len(fleet.acts) > 5)
        # Another TMPDIR, so that it does not find the first process.
        second, lines = await fleet.process(1, tmp_path / "b", up=False)
        await wait_until(lambda: any(line["event"] == "leases_port_taken" for line in lines))
        numbers = {act.number for act in fleet.acts}
        count = len(fleet.acts)
        await wait_until(lambda: len(fleet.acts) > count + 10)
        assert {act.number for act in fleet.acts} == numbers
        assert await end(first, signal.SIGKILL) != 0
        await wait_until(lambda: any(line["event"] == "lease_held" for line in lines))
        count = len(fleet.acts)
        await wait_until(lambda: len(fleet.acts) > count + 5)
        assert await end(second) == 0

    fleet = run_fleet(tmp_path, scenario)
    assert lease_violations(fleet.acts) == []
    assert len({act.number for act in fleet.acts}) == 2


def test_sighup_changes_the_council_only_with_a_new_number(tmp_path: Path) -> None:
    """A changed span or member list under the old number would leave members with different councils."""

    async def scenario(fleet: LeaseFleet) -> None:
        process, lines = await fleet.process(0, tmp_path)
        file = fleet.write(0)
        good = file.read_text()
        file.write_text(good.replace(f"span_s = {SPAN}", "span_s = 0.9"))
        process.send_signal(signal.SIGHUP)
        await wait_until(
            lambda: any(
                line["event"] == "reload_refused" and "leases.number" in str(line["why"]) for line in lines
            )
        )
        file.write_text(good.replace("number = 1", "number = 2"))
        process.send_signal(signal.SIGHUP)
        await wait_until(
            lambda: any(line["event"] == "leases_council_changed" and line["number"] == 2 for line in lines)
        )
        count = len(fleet.acts)
        await wait_until(lambda: len(fleet.acts) > count + 5)
        assert await end(process) == 0

    assert lease_violations(run_fleet(tmp_path, scenario).acts) == []


def test_operators_list_run_under_and_hand_over_leases(
    tmp_path: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    """The commands `leases run`, `list` and `hand-over`, their exit statuses and a command's environment."""

    async def scenario(fleet: LeaseFleet) -> None:
        process, _ = await fleet.process(0, tmp_path)
        mgmt = f"127.0.0.1:{fleet.mgmt[0]}"

        async def cli(*words: str) -> int:
            return await asyncio.to_thread(main, ["leases", *words])

        assert (
            await cli(
                "run",
                "nightly",
                "--mgmt",
                mgmt,
                "--",
                "sh",
                "-c",
                "echo number=$BEACONHINGE_LEASE_NUMBER left=$BEACONHINGE_LEASE_LEFT_MS; exit 7",
            )
            == 7
        )
        output = capfd.readouterr().out
        assert "number=1" in output
        assert "left=" in output
        assert "left=\n" not in output
        listed = json.loads((await fleet.call("lease-list")).splitlines()[0])
        assert listed["members"] == [0]
        assert listed["leases"]["export"]["held"]
        assert await cli("list", "--mgmt", mgmt) == 0
        assert "export" in capfd.readouterr().out
        both = await asyncio.gather(
            *(cli("run", "restart", "--slots", "2", "--mgmt", mgmt, "--", "sleep", "0.2") for _ in range(2))
        )
        assert both == [0, 0]
        running = asyncio.create_task(cli("run", "long", "--mgmt", mgmt, "--", "sleep", "30"))
        while '"long":{"held":true' not in await fleet.call("lease-list"):
            await asyncio.sleep(0.02)
        assert await cli("hand-over", "long", "--mgmt", mgmt) == 0
        assert await cli("hand-over", "nothing", "--mgmt", mgmt) == 1
        assert await asyncio.wait_for(running, 5) == 1  # the command was ended before its lease
        assert (await fleet.call("lease-take Bad!")).startswith("FAILURE")
        assert await end(process) == 0

    run_fleet(tmp_path, scenario)


@pytest.mark.parametrize(
    ("table", "key"),
    [
        ({"number": 0}, "leases.number"),
        ({"span_s": 0.1}, "leases.span_s"),
        ({"members": [1, 1]}, "leases.members"),
        ({"members": [0, 1], "members_before": [0, 2], "number": 2}, "one at a time"),
        ({"calls": [{"name": "Bad", "to": "127.0.0.1:1"}]}, "leases.calls"),
        ({"calls": [{"name": "a", "to": "x"}]}, "a: "),
        ({"calls": [{"name": "a", "to": "127.0.0.1:1", "longest_s": 1.5}]}, "longest_s"),
        ({"calls": [{"name": "a", "to": "127.0.0.1:1", "path": "/a b"}]}, "path"),
        ({"spam_s": 1.0}, "span_s"),
    ],
)
def test_bad_lease_options_are_rejected_with_the_key_named(table: dict[str, Any], key: str) -> None:
    """The message must name the wrong key, and for an unknown key the one that it resembles."""
    with pytest.raises(ConfigError, match=key):
        convert({"leases": table}, "x.toml")


def test_leases_without_peer_listen_end_the_start_with_one_line(tmp_path: Path) -> None:
    """Without `peer_listen` no vote of another member can arrive: the start must fail and name the option."""

    async def scenario(fleet: LeaseFleet) -> None:
        file = fleet.write(0)
        platform = json.loads((tmp_path / "balancer-0.json").read_text())
        platform["settings"] |= {"groupSize": 3}
        del platform["peer_listen"]
        (tmp_path / "balancer-0.json").write_text(json.dumps(platform))
        process = await start({**os.environ, "BEACONHINGE_CONFIG": str(file)})
        assert process.stderr is not None
        assert b"leases.enabled" in await process.stderr.read()
        assert await process.wait() == 2

    run_fleet(tmp_path, scenario)
