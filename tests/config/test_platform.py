"""The platform's configuration: defaults, the environment, and errors that name the invalid key."""

from __future__ import annotations

import json
import re
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from harness import SETTINGS

from beaconhinge.config import ConfigError, flatten, load, parse

ROOT = Path(__file__).resolve().parents[2]
VALID: dict[str, Any] = {
    "name": "n0",
    "listen": "127.0.0.1:9000",
    "discovery": "127.0.0.1:8500",
    "seed": "8c1f",
    "settings": SETTINGS,
}


def test_nested_settings_are_flattened_to_pairs() -> None:
    assert flatten(
        {"a": {"b": True, "c": [1, 2.5], "d": "x y,z"}, "e": [{"f": False}, {"f": None}], "g": []}
    ) == {
        "a.b": "true",
        "a.c": "1,2.5",
        "a.d": "x_y_z",
        "e.count": "2",
        "e.0.f": "false",
        "e.1.f": "-",
        "g": "",
    }


def test_valid_configuration_gets_defaults() -> None:
    config = parse(VALID)
    assert (config.listen, config.seed, config.limits.sockets) == (("127.0.0.1", 9000), 0x8C1F, 1024)
    assert (config.class_names, config.tenant_names) == (("render", "publish"), ("acme", "umbrella"))
    assert (config.needs_key(0), config.needs_key(1), config.bootstrap_list) == (False, True, None)
    assert config.settings.classes[1].dedup_group == "cell"
    assert config.settings.free_slots_field == "x0"


def with_value(path: str, value: Any) -> dict[str, Any]:
    """Return a copy of the valid configuration with another value at a dotted path."""
    content: dict[str, Any] = json.loads(json.dumps(VALID))
    parent: Any = content
    *parents, last = (int(step) if step.isdigit() else step for step in path.split("."))
    for step in parents:
        parent = parent[step]
    parent[last] = value
    return content


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("name", ""),
        ("listen", None),
        ("listen", "nowhere"),
        ("listen", "h:99999"),
        ("listen", "h:\u0663"),
        ("discovery", 7),
        ("seed", "xyz"),
        ("seed", []),
        ("limits", []),
        ("limits", {"sockets": "many"}),
        ("limits", {"sockets": 3}),
        ("limits", {"memory_mb": float("nan")}),
        ("peers", 5),
        ("peers", ["x"]),
        ("peer_listen", "x"),
        ("peers_all", {}),
        ("known", []),
        ("known", {"version": -1, "servers": []}),
        ("settings", None),
        ("settings.requestClasses", []),
        ("settings.requestClasses.0.aim", "soon"),
        ("settings.requestClasses.0.semantics", "odd"),
        ("settings.requestClasses.1.name", "render"),
        ("settings.requestClasses.1", 5),
        ("settings.orgs.1.name", ""),
        ("settings.groupSize", 0),
        ("settings.myNumber", 9),
        ("settings.rules.drainGrace", -1),
        ("settings.dcs", [["east"]]),
    ],
)
def test_invalid_configuration_error_names_the_key(key: str, value: Any) -> None:
    last = key.split(".")[-1] if not key.split(".")[-1].isdigit() else "requestClasses"
    with pytest.raises(ConfigError, match=last):
        parse(with_value(key, value))


@pytest.mark.parametrize("content", [None, b"{", b"[]", b"\xff", b"[" * 100000])
def test_unreadable_configuration_fails_the_start_with_one_line(
    tmp_path: Path, content: bytes | None
) -> None:
    path = tmp_path / "config.json"
    if content is not None:
        path.write_bytes(content)
    done = subprocess.run(
        [sys.executable, "-O", "-m", "beaconhinge"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        env={"RELAY_CONFIG": str(path)},
        timeout=20,
    )
    assert done.returncode == 2
    assert re.fullmatch(r"beaconhinge: RELAY_CONFIG: [^\n]+\n", done.stderr)


def test_environment_gives_keys_that_the_file_lacks(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps({key: value for key, value in VALID.items() if key != "listen"}))
    assert load({"RELAY_CONFIG": str(path), "RELAY_LISTEN": "127.0.0.1:7"}).listen == ("127.0.0.1", 7)
    with pytest.raises(ConfigError, match="RELAY_CONFIG"):
        load({})
