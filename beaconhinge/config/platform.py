"""The platform's environment and JSON: checks, defaults, errors that name the faulty key."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from ipaddress import IPv4Address
from pathlib import Path
from typing import Any

from ..errors import Error
from ..membership.inventory import WorkerList, WorkerListError, WorkerListParser
from ..policy.interface import Semantics, Settings

Address = tuple[str, int]
MAX_PORT = 65535

# What the program itself takes after a busy day, and the part of the rest that is used.
_PROGRAM_MB = 20.0
_USED_SHARE = 0.8
_MB_BYTES = 1024 * 1024
# A client's connection takes this at most beside the body, by measurement.
_CONNECTION_BYTES = 32 * 1024


class ConfigError(Error):
    """One line that names the faulty key."""


@dataclass(frozen=True)
class Limits:
    """What the platform lets this process use."""

    memory_mb: float = 192.0
    sockets: int = 1024

    @property
    def _spare_bytes(self) -> float:
        """Bytes beside the program itself; a fifth stays free."""
        return _USED_SHARE * (self.memory_mb - _PROGRAM_MB) * _MB_BYTES

    @property
    def max_connections(self) -> int:
        """Connections that clients may have."""
        return int(self._spare_bytes / 2 / _CONNECTION_BYTES)

    @property
    def max_body_bytes(self) -> int:
        """Bytes of clients' bodies; each is there twice while its last piece is read, or is passed on."""
        return int(self._spare_bytes / 2 / 2)


@dataclass(frozen=True)
class Config:
    """The platform's configuration of one dispatcher."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    limits: Limits
    settings: Settings
    class_names: tuple[str, ...]
    tenant_names: tuple[str, ...]  # empty: the site has no tenants
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    report_names: tuple[str, ...]  # fields of a load report; empty: the site has none
    peer_listen: Address | None = None
    peers: tuple[Address, ...] = ()
    peers_all: Address | None = None
    bootstrap_list: WorkerList | None = None
    mgmt: Address | None = None  # where operators call

    def needs_key(self, cls: int) -> bool:
        """Whether requests of the class carry an idempotency key."""
        return self.settings.classes[cls].semantics == Semantics.DEDUPLICATED

    def changes_for_restart(self, new: Config) -> list[str]:
        """Keys that differ in a configuration read again and count at the next start only."""
        keys = ("name", "listen", "mgmt", "peer_listen", "limits", "settings")
        names = ("class_names", "tenant_names", "zones", "kinds", "report_names")
        changed = {key for key in (*keys, *names) if getattr(self, key) != getattr(new, key)}
        return [key for key in keys if key in changed or key == "settings" and changed & set(names)]


def load(environment: Mapping[str, str]) -> Config:
    """Read the configuration that RELAY_CONFIG names; other variables stand in for keys that it lacks.

    Raises:
        ConfigError: The file cannot be read, or a key is missing or faulty.
    """
    path = environment.get("RELAY_CONFIG", "")
    if not path:
        raise ConfigError("RELAY_CONFIG: not set; it names the configuration file")
    try:
        content = json.loads(Path(path).read_bytes())
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"RELAY_CONFIG: cannot read {path}: {error}") from None
    if not isinstance(content, dict):
        raise ConfigError("RELAY_CONFIG: the file must hold one JSON object")
    given = {
        key: environment[f"RELAY_{key.upper()}"]
        for key in ("name", "listen", "discovery", "mgmt")
        if environment.get(f"RELAY_{key.upper()}")
    }
    return parse({**given, **content})


def parse(content: Mapping[str, Any]) -> Config:
    """The configuration in the platform's JSON, already decoded.

    Raises:
        ConfigError: A key is missing or faulty; the first one is named.
    """
    nested = content.get("settings")
    if not isinstance(nested, dict):
        raise ConfigError("settings: missing or not an object")
    pairs = flatten(nested)
    try:
        settings = Settings.from_pairs(pairs)
    except ValueError as error:
        raise ConfigError(f"settings.{error}") from None
    class_names = _unique_names(pairs, "requestClasses", len(settings.classes))
    tenant_names = _unique_names(pairs, "orgs", int(pairs.get("orgs.count", "0")))
    has_reports = pairs.get("report.source", "none") != "none"
    zones, kinds = _comma_separated(pairs, "dcs"), _comma_separated(pairs, "kinds")
    bootstrap_list = _bootstrap_list(content.get("known"), zones, kinds)
    peers = content.get("peers", [])
    if not isinstance(peers, list):
        raise ConfigError("peers: must be a list of addresses")
    return Config(
        name=_text(content, "name"),
        listen=_address(content, "listen"),
        discovery=_address(content, "discovery"),
        seed=_seed(content),
        limits=_limits(content.get("limits", {})),
        settings=settings,
        class_names=class_names,
        tenant_names=tenant_names,
        zones=zones,
        kinds=kinds,
        report_names=_comma_separated(pairs, "report.names") if has_reports else (),
        peer_listen=_optional_address(content, "peer_listen"),
        peers=tuple(address(text, f"peers.{i}") for i, text in enumerate(peers)),
        peers_all=_optional_address(content, "peers_all"),
        bootstrap_list=bootstrap_list,
        mgmt=_optional_address(content, "mgmt"),
    )


def _unique_names(pairs: Mapping[str, str], key: str, count: int) -> tuple[str, ...]:
    names = tuple(pairs.get(f"{key}.{i}.name", "") for i in range(count))
    for i, name in enumerate(names):
        if not name or name in names[:i]:
            raise ConfigError(f"settings.{key}.{i}.name: missing or given twice")
    return names


def _bootstrap_list(known: Any, zones: tuple[str, ...], kinds: tuple[str, ...]) -> WorkerList | None:
    try:
        return WorkerListParser(zones, kinds).parse(known) if known is not None else None
    except WorkerListError as error:
        raise ConfigError(f"known: {error}") from None


def flatten(nested: Mapping[str, Any], path: str = "") -> dict[str, str]:
    """Nested settings as the module's path=value pairs."""
    pairs: dict[str, str] = {}
    for key, value in nested.items():
        here = f"{path}{key}"
        if isinstance(value, dict):
            pairs.update(flatten(value, here + "."))
        elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
            pairs[here + ".count"] = str(len(value))
            for i, item in enumerate(value):
                if not isinstance(item, dict):
                    raise ConfigError(f"settings.{here}.{i}: must be an object like the others")
                pairs.update(flatten(item, f"{here}.{i}."))
        elif isinstance(value, list):
            pairs[here] = ",".join(_plain(item, here) for item in value)
        else:
            pairs[here] = _plain(value, here)
    return pairs


def _plain(value: Any, path: str) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if value is None:
        return "-"
    if isinstance(value, (int, float)):
        return repr(value)
    if isinstance(value, str):
        return value.replace(" ", "_").replace(",", "_")
    raise ConfigError(f"settings.{path}: a list in a list cannot be read")


def _comma_separated(pairs: Mapping[str, str], key: str) -> tuple[str, ...]:
    return tuple(word for word in pairs.get(key, "").split(",") if word)


def _text(content: Mapping[str, Any], key: str) -> str:
    value = content.get(key)
    if not isinstance(value, str) or not value:
        raise ConfigError(f"{key}: missing or not a text")
    return value


def _address(content: Mapping[str, Any], key: str) -> Address:
    return address(_text(content, key), key)


def _optional_address(content: Mapping[str, Any], key: str) -> Address | None:
    return _address(content, key) if content.get(key) is not None else None


def address(text: object, key: str) -> Address:
    """An IPv4 address with a port.

    Raises:
        ConfigError: The text is none; `key` is named.
    """
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    try:
        IPv4Address(host)
        if not (port.isascii() and port.isdigit()) or not 0 < int(port) <= MAX_PORT:
            raise ValueError(port)
    except ValueError:
        raise ConfigError(f"{key}: {text!r} is not an address like 10.0.0.4:9000") from None
    return host, int(port)


def _seed(content: Mapping[str, Any]) -> int:
    value = content.get("seed", 0)
    try:
        return int(value, 16) if isinstance(value, str) else int(value)
    except (TypeError, ValueError, OverflowError):
        raise ConfigError(f"seed: {value!r} is neither hex digits nor a whole number") from None


def _limits(given: Any) -> Limits:
    if not isinstance(given, dict):
        raise ConfigError("limits: must be an object")
    values = {"memory_mb": Limits.memory_mb, "sockets": Limits.sockets, **given}
    for key, least in (("memory_mb", 32), ("sockets", 64)):
        value = values[key]
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not value >= least:
            raise ConfigError(f"limits.{key}: must be a number of {least} or more")
    return Limits(float(values["memory_mb"]), int(values["sockets"]))
