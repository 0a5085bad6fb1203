"""The configuration's defaults, and the messages and exit statuses for faulty configurations."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from golden_files import check_cases, check_text
from golden_process import ROOT, SETTINGS, settings

pytestmark = pytest.mark.xdist_group("processes")

# The entry point `beaconhinge` of pyproject.toml, for many commands in one process.
MANY_COMMANDS = """
import contextlib, io, json, sys
from beaconhinge.cli import main
results = []
for arguments in json.load(sys.stdin):
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        status = main(arguments)
    results.append([status, out.getvalue(), err.getvalue()])
json.dump(results, sys.stdout)
"""


def commands(folder: Path, lines: list[list[str]], processes: int = 1) -> list[Any]:
    """Run command lines in a folder; return status, standard output and standard error of each.

    They are shared out among so many processes, which run at the same time.
    """
    environment = {**os.environ, "PYTHONPATH": str(ROOT), "TERM": "dumb", "COLUMNS": "100"}
    parts = [lines[first::processes] for first in range(processes)]
    started = [
        subprocess.Popen(
            [sys.executable, "-c", MANY_COMMANDS],
            cwd=folder,
            env=environment,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in parts
    ]
    for process, part in zip(started, parts, strict=True):
        assert process.stdin is not None
        process.stdin.write(json.dumps(part))
        process.stdin.close()
        process.stdin = None
    results: list[Any] = [None] * len(lines)
    for first, process in enumerate(started):
        results[first::processes] = json.loads(process.communicate(timeout=60)[0])
        assert process.returncode == 0
    return results


def minimal(**changes: Any) -> dict[str, Any]:
    """Return a minimal platform configuration with changes; a change to None removes the key."""
    content = {
        "name": "n0",
        "listen": "127.0.0.1:9000",
        "discovery": "127.0.0.1:8500",
        "settings": SETTINGS,
        **changes,
    }
    return {key: value for key, value in content.items() if value is not None}


def with_class_changes(**changes: Any) -> dict[str, Any]:
    """Return settings with changes to the first request class."""
    first, second = SETTINGS["requestClasses"]
    return settings(requestClasses=[{**first, **changes}, second])


HOST = {"id": "s-1", "addr": "127.0.0.1:9001", "state": "Ready"}
PLATFORM_FILES: dict[str, Any] = {
    "well": minimal(),
    "no-settings": minimal(settings=None),
    "no-name": minimal(name=None),
    "name-no-text": minimal(name=7),
    "no-listen": minimal(listen=None),
    "listen-port-0": minimal(listen="127.0.0.1:0"),
    "listen-name": minimal(listen="localhost:80"),
    "discovery-malformed": minimal(discovery="here"),
    "mgmt-malformed": minimal(mgmt="127.0.0.1"),
    "peer-listen-malformed": minimal(peer_listen="x:1"),
    "peers-no-list": minimal(peers="127.0.0.1:1"),
    "peer-malformed": minimal(peers=["127.0.0.1:1", "127.0.0.1"]),
    "peers-all-malformed": minimal(peers_all="a"),
    "seed-no-hex": minimal(seed="xyz"),
    "seed-list": minimal(seed=[1]),
    "limits-no-object": minimal(limits=7),
    "memory-small": minimal(limits={"memory_mb": 31}),
    "memory-true": minimal(limits={"memory_mb": True}),
    "sockets-few": minimal(limits={"sockets": 63}),
    "sockets-text": minimal(limits={"sockets": "many"}),
    "known-no-list": minimal(known={"version": 1}),
    "known-version": minimal(known={"version": -1, "servers": []}),
    "known-entry-malformed-is-dropped": minimal(known={"version": 1, "servers": [{**HOST, "addr": "x"}]}),
    "class-no-name": minimal(settings=with_class_changes(name="")),
    "class-name-twice": minimal(settings=with_class_changes(name="publish")),
    "tenant-no-name": minimal(settings=settings(orgs=[{"share": 1.0}])),
    "tenant-name-twice": minimal(settings=settings(orgs=[{"name": "a"}, {"name": "a"}])),
    "classes-mixed": minimal(settings=settings(requestClasses=[{"name": "a"}, 7])),
    "list-in-list": minimal(settings=settings(kinds=[["fast"]])),
    "no-classes": minimal(settings=settings(requestClasses=[])),
    "group-size-0": minimal(settings=settings(groupSize=0)),
    "group-size-text": minimal(settings=settings(groupSize="two")),
    "number-outside-group": minimal(settings=settings(myNumber=5)),
    "aim-text": minimal(settings=with_class_changes(aim="fast")),
    "aim-negative": minimal(settings=with_class_changes(aim=-1.0)),
    "hard-limit-text": minimal(settings=with_class_changes(hardLimit="long")),
    "semantics-unknown": minimal(settings=with_class_changes(semantics="sometimes")),
    "group-unknown": minimal(settings=with_class_changes(group="galaxy")),
    "mode-unknown": minimal(settings=settings(membershipMode="guess")),
    "cancel-text": minimal(settings=settings(policyLimits__cancel="maybe")),
    "attempts-text": minimal(settings=settings(policyLimits__maxAttempts="few")),
    "attempts-0": minimal(settings=settings(policyLimits__maxAttempts=0)),
    "quota-text": minimal(settings=settings(orgs=[{"name": "a", "quotaRps": "many"}])),
    "share-text": minimal(settings=settings(orgs=[{"name": "a", "share": "half"}])),
    "no-object": [1],
}
TOML_FILES = {
    "empty": "",
    "no-toml": "[store",
    "table-unknown": "[stor]\nfolder = 'x'\n",
    "key-unknown": "[store]\nfoldr = 'x'\n",
    "key-far-from-any": "[store]\nzzzz = 1\n",
    "type-wrong": "[store]\nmax_key_bytes = 'many'\n",
    "format-unknown": "[log]\nformat = 'xml'\n",
    "platform-absent": "[platform]\nconfig = 'absent.json'\n",
    "platform-well": "[platform]\nconfig = 'well.json'\n",
    "platform-faulty": "[platform]\nconfig = 'no-name.json'\n",
    "store-key-bytes": "[store]\nmax_key_bytes = 0\n",
    "store-value-bytes": "[store]\nmax_value_bytes = 0\n",
    "store-batch-bytes": "[store]\nmax_batch_bytes = 1\n",
    "store-segment-bytes": "[store]\nsegment_bytes = 1\n",
    "store-disk-bytes": "[store]\nmax_disk_bytes = 1\n",
    "store-dead-share": "[store]\ncompact_dead_share = 2.0\n",
    "store-step": "[store]\ncompact_step_bytes = 0\n",
    "books-interval": "[books]\ninterval_s = 0.0\n",
    "books-age": "[books]\nmax_age_s = inf\n",
    "progress-keep-alive": "[progress]\nkeep_alive_s = 0.0\n",
    "progress-detached": "[progress]\ndetached_s = -1.0\n",
    "recovery-stall": "[recovery]\nstall_s = 0.2\n",
    "recovery-keys": "[recovery]\nmax_keys = 0\n",
    "recovery-results": "[recovery]\nmax_result_bytes = 0\n",
    "leases-number": "[leases]\nnumber = 0\n",
    "leases-span": "[leases]\nspan_s = 0.1\n",
    "leases-members-twice": "[leases]\nmembers = [1, 1]\n",
    "leases-members-before": "[leases]\nmembers = [3, 4]\nmembers_before = [1, 2]\n",
    "lease-name": "[[leases.calls]]\nname = 'a b'\nto = '127.0.0.1:1'\n",
    "lease-every": "[[leases.calls]]\nname = 'a'\nto = '127.0.0.1:1'\nevery_s = 0.0\n",
    "lease-path": "[[leases.calls]]\nname = 'a'\nto = '127.0.0.1:1'\npath = 'x'\n",
    "lease-address": "[[leases.calls]]\nname = 'a'\nto = 'x'\n",
    "lease-key-unknown": "[[leases.calls]]\nname = 'a'\nto = '127.0.0.1:1'\nevry_s = 1.0\n",
}


def test_defaults_are_unchanged() -> None:
    (status, toml, errors), (json_status, as_json, _), (file_status, of_file, _) = commands(
        ROOT,
        [
            ["config", "show", "--defaults"],
            ["config", "show", "--defaults", "--json"],
            ["config", "show", "deploy/edge.toml"],
        ],
    )
    assert (status, json_status, file_status, errors) == (0, 0, 0, "")
    check_text("config_show_defaults.toml", toml)
    check_text("config_show_defaults.json", as_json)
    assert of_file == toml


def test_messages_for_faulty_configurations_are_unchanged(tmp_path: Path) -> None:
    for name, content in PLATFORM_FILES.items():
        (tmp_path / f"{name}.json").write_text(json.dumps(content))
    for name, text in TOML_FILES.items():
        (tmp_path / f"{name}.toml").write_text(text)
    (tmp_path / "torn.json").write_text('{"name": ')
    files = [f"{name}.json" for name in (*PLATFORM_FILES, "torn")] + [f"{name}.toml" for name in TOML_FILES]
    lines = [["config", "check", file] for file in files]
    lines += [["config", "check", "no-name.json", "--json"], ["config", "check", "well.json", "--json"]]
    lines += [
        ["config", "check", "absent.json"],
        ["config", "show"],
        ["config", "show", "empty.toml", "--defaults"],
    ]
    found: dict[str, object] = {
        " ".join(line): {"status": status, "out": out, "err": err}
        for line, (status, out, err) in zip(lines, commands(tmp_path, lines, 3), strict=True)
    }
    check_cases("config_check.json", found)
    ((status, out, errors),) = commands(ROOT, [["config", "check", "deploy/edge.toml"]])
    assert (status, out, errors) == (0, "deploy/edge.toml: well\n", "")


def test_message_of_a_faulty_start_is_unchanged(tmp_path: Path) -> None:
    (tmp_path / "no-name.json").write_text(json.dumps(PLATFORM_FILES["no-name"]))
    (tmp_path / "key-unknown.toml").write_text(TOML_FILES["key-unknown"])
    starts = {
        "no variable": {},
        "absent file": {"RELAY_CONFIG": "absent.json"},
        "no name": {"RELAY_CONFIG": "no-name.json"},
        "mgmt malformed in the environment": {
            "RELAY_CONFIG": "no-name.json",
            "RELAY_NAME": "n",
            "RELAY_MGMT": "x",
        },
        "own file faulty": {"RELAY_CONFIG": "no-name.json", "BEACONHINGE_CONFIG": "key-unknown.toml"},
    }
    clean = {k: v for k, v in os.environ.items() if not k.startswith(("RELAY_", "BEACONHINGE_"))}
    started = {
        name: subprocess.Popen(
            [sys.executable, "-m", "beaconhinge"],
            cwd=tmp_path,
            env={**clean, "PYTHONPATH": str(ROOT), **variables},
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        for name, variables in starts.items()
    }
    found: dict[str, object] = {}
    for name, process in started.items():
        out, errors = process.communicate(timeout=60)
        found[name] = {"status": process.returncode, "out": out, "err": errors}
    check_cases("faulty_starts.json", found)
