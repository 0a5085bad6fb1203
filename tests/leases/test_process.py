"""One process of the program, and its next one: upgrades, two of a name, steps, operators' calls and commands."""

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


class Led(DemoFleet):
    """A scene whose dispatcher is the only member, calls a resource, and has a place for operators."""

    def __init__(self, folder: Path) -> None:
        super().__init__(2, 5.0, 5, folder)
        self.mgmt = [free_port(), free_port()]
        self.peers = f"127.0.0.1:{free_port()}"
        self.acts: list[Act] = []
        self.number = 1
        self.to = 1

    def write(self, which: int) -> Path:
        """The configuration of one of two processes, which differ in `mgmt` alone."""
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
        made = await start({"BEACONHINGE_CONFIG": str(self.write(which)), "TMPDIR": str(tmp)})
        lines: list[dict[str, Any]] = []

        async def read() -> None:
            async for line in log_lines(made):
                lines.append(line)

        self.discovery.server.spawn(read())
        if up:
            await until_up(made, self.port, lines)
        return made, lines

    async def call(self, line: str, which: int = 0) -> str:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.mgmt[which])
        writer.write(line.encode() + b"\n")
        answer = (await asyncio.wait_for(reader.read(), 5)).decode()
        writer.close()
        return answer


async def until(true: Callable[[], Any], seconds: float = 8.0) -> None:
    async with asyncio.timeout(seconds):
        while not true():
            await asyncio.sleep(0.02)


def played(folder: Path, scenario: Callable[[Led], Awaitable[None]]) -> Led:
    async def whole() -> Led:
        led = Led(folder)
        await led.begin()
        try:
            await scenario(led)
        finally:
            led.resource.kill()
            await led.resource.wait()
            for server in (led.discovery.server, *(worker.server for worker in led.workers)):
                await server.stop()
            for worker in led.workers:
                worker.close()
        return led

    return asyncio.run(whole())


def test_in_an_upgrade_the_lease_goes_over_and_both_never_act_at_once(tmp_path: Path) -> None:
    async def scenario(led: Led) -> None:
        old, _ = await led.process(0, tmp_path)
        await until(lambda: len(led.acts) > 5)
        new, lines = await led.process(1, tmp_path)
        await until(lambda: any(line["event"] == "lease_held" for line in lines))
        count = len(led.acts)
        await until(lambda: len(led.acts) > count + 5)
        assert await end(old) == 0
        count = len(led.acts)
        await until(lambda: len(led.acts) > count + 5)
        assert not any(line["event"] == "leases_port_taken" for line in lines)
        assert await end(new) == 0

    led = played(tmp_path, scenario)
    assert lease_violations(led.acts) == []
    assert len({act.number for act in led.acts}) >= 2


def test_a_second_process_of_the_name_neither_votes_nor_holds_until_the_first_is_gone(tmp_path: Path) -> None:
    async def scenario(led: Led) -> None:
        (tmp_path / "a").mkdir()
        (tmp_path / "b").mkdir()
        first, _ = await led.process(0, tmp_path / "a")
        await until(lambda: len(led.acts) > 5)
        second, lines = await led.process(1, tmp_path / "b", up=False)  # it finds no word of the first
        await until(lambda: any(line["event"] == "leases_port_taken" for line in lines))
        numbers = {act.number for act in led.acts}
        count = len(led.acts)
        await until(lambda: len(led.acts) > count + 10)
        assert {act.number for act in led.acts} == numbers
        assert await end(first, signal.SIGKILL) != 0
        await until(lambda: any(line["event"] == "lease_held" for line in lines))
        count = len(led.acts)
        await until(lambda: len(led.acts) > count + 5)
        assert await end(second) == 0

    led = played(tmp_path, scenario)
    assert lease_violations(led.acts) == []
    assert len({act.number for act in led.acts}) == 2


def test_a_step_comes_by_sighup_and_one_without_its_number_is_refused(tmp_path: Path) -> None:
    async def scenario(led: Led) -> None:
        process, lines = await led.process(0, tmp_path)
        file = led.write(0)
        good = file.read_text()
        file.write_text(good.replace(f"span_s = {SPAN}", "span_s = 0.9"))
        process.send_signal(signal.SIGHUP)
        await until(
            lambda: any(
                line["event"] == "reload_refused" and "leases.number" in str(line["why"]) for line in lines
            )
        )
        file.write_text(good.replace("number = 1", "number = 2"))
        process.send_signal(signal.SIGHUP)
        await until(
            lambda: any(line["event"] == "leases_council_changed" and line["number"] == 2 for line in lines)
        )
        count = len(led.acts)
        await until(lambda: len(led.acts) > count + 5)
        assert await end(process) == 0

    assert lease_violations(played(tmp_path, scenario).acts) == []


def test_operators_list_run_under_and_hand_over_leases(
    tmp_path: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    async def scenario(led: Led) -> None:
        process, _ = await led.process(0, tmp_path)
        mgmt = f"127.0.0.1:{led.mgmt[0]}"

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
        told = capfd.readouterr().out
        assert "number=1" in told
        assert "left=" in told
        assert "left=\n" not in told
        listed = json.loads((await led.call("lease-list")).splitlines()[0])
        assert listed["members"] == [0]
        assert listed["leases"]["export"]["held"]
        assert await cli("list", "--mgmt", mgmt) == 0
        assert "export" in capfd.readouterr().out
        both = await asyncio.gather(
            *(cli("run", "restart", "--slots", "2", "--mgmt", mgmt, "--", "sleep", "0.2") for _ in range(2))
        )
        assert both == [0, 0]
        running = asyncio.create_task(cli("run", "long", "--mgmt", mgmt, "--", "sleep", "30"))
        while '"long":{"held":true' not in await led.call("lease-list"):
            await asyncio.sleep(0.02)
        assert await cli("hand-over", "long", "--mgmt", mgmt) == 0
        assert await cli("hand-over", "nothing", "--mgmt", mgmt) == 1
        assert await asyncio.wait_for(running, 5) == 1  # ended before the lease was
        assert (await led.call("lease-take Bad!")).startswith("FAILURE")
        assert await end(process) == 0

    played(tmp_path, scenario)


@pytest.mark.parametrize(
    ("table", "named"),
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
def test_a_faulty_table_is_refused_by_the_name_of_its_key(table: dict[str, Any], named: str) -> None:
    with pytest.raises(ConfigError, match=named):
        convert({"leases": table}, "x.toml")


def test_leases_without_a_way_to_the_others_end_the_start_with_one_line(tmp_path: Path) -> None:
    async def scenario(led: Led) -> None:
        file = led.write(0)
        platform = json.loads((tmp_path / "balancer-0.json").read_text())
        platform["settings"] |= {"groupSize": 3}
        del platform["peer_listen"]
        (tmp_path / "balancer-0.json").write_text(json.dumps(platform))
        process = await start({**os.environ, "BEACONHINGE_CONFIG": str(file)})
        assert process.stderr is not None
        assert b"leases.enabled" in await process.stderr.read()
        assert await process.wait() == 2

    played(tmp_path, scenario)
