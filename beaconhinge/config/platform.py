"""Reads and checks the platform's configuration: a JSON file, and environment variables for keys it lacks.

Missing keys get defaults; errors name the invalid key.
"""

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

# Memory of the program itself after a day under load, without clients' connections and bodies.
_PROGRAM_MB = 20.0
# Share of the remaining memory that connections and bodies may use.
_USED_SHARE = 0.8
_MB_BYTES = 1024 * 1024
# Memory that a client's connection uses without a reservation: its buffer, its parser, small messages.
_CONNECTION_BYTES = 32 * 1024


class ConfigError(Error):
    """The configuration is invalid; the message is one line that names the key."""


@dataclass(frozen=True)
class Limits:
    """The memory, in megabytes, and the number of sockets that the platform lets this process use."""

    memory_mb: float = 192.0
    sockets: int = 1024

    @property
    def _spare_bytes(self) -> float:
        """Bytes for clients' connections and bodies; a fifth of what the program leaves stays free."""
        return _USED_SHARE * (self.memory_mb - _PROGRAM_MB) * _MB_BYTES

    @property
    def max_connections(self) -> int:
        """The number of connections that clients may have open; half of the spare memory is theirs."""
        return int(self._spare_bytes / 2 / _CONNECTION_BYTES)

    @property
    def max_body_bytes(self) -> int:
        """Bytes that the messages of clients and call-backs may take at once, beside small ones.

        A body is in memory twice while its last piece is read and while it is forwarded to a worker, so this
        is half of the spare memory that is left beside connections.
        """
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
    mgmt: Address | None = None  # where the process listens for operators' calls

    def needs_key(self, cls: int) -> bool:
        """Return whether requests of this class must carry an idempotency key."""
        return self.settings.classes[cls].semantics == Semantics.DEDUPLICATED

    def changes_for_restart(self, new: Config) -> list[str]:
        """Return the keys that differ in a reloaded configuration and take effect only at a restart."""
        keys = ("name", "listen", "mgmt", "peer_listen", "limits", "settings")
        names = ("class_names", "tenant_names", "zones", "kinds", "report_names")
        changed = {key for key in (*keys, *names) if getattr(self, key) != getattr(new, key)}
        return [key for key in keys if key in changed or key == "settings" and changed & set(names)]


def load(environment: Mapping[str, str]) -> Config:
    """Read the configuration file that RELAY_CONFIG names, and return the configuration.

    RELAY_NAME, RELAY_LISTEN, RELAY_DISCOVERY and RELAY_MGMT give the keys of these names that the file lacks.

    Raises:
        ConfigError: The file cannot be read, or a key is missing or invalid.
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
    from_environment = {
        key: environment[f"RELAY_{key.upper()}"]
        for key in ("name", "listen", "discovery", "mgmt")
        if environment.get(f"RELAY_{key.upper()}")
    }
    return parse({**from_environment, **content})


def parse(content: Mapping[str, Any]) -> Config:
    """Return the configuration from the platform's decoded JSON.

    Raises:
        ConfigError: A key is missing or invalid; the message names the first one.
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


def _bootstrap_list(content: Any, zones: tuple[str, ...], kinds: tuple[str, ...]) -> WorkerList | None:
    try:
        return WorkerListParser(zones, kinds).parse(content) if content is not None else None
    except WorkerListError as error:
        raise ConfigError(f"known: {error}") from None


def flatten(nested: Mapping[str, Any], path: str = "") -> dict[str, str]:
    """Return nested settings as a flat mapping of dotted paths to texts, as `Settings.from_pairs` reads them.

    A list of objects becomes `PATH.count` and `PATH.INDEX.KEY`; other lists are joined by commas.

    Raises:
        ConfigError: A list holds both objects and other values, or another list.
    """
    pairs: dict[str, str] = {}
    for key, value in nested.items():
        key_path = f"{path}{key}"
        if isinstance(value, dict):
            pairs.update(flatten(value, key_path + "."))
        elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
            pairs[key_path + ".count"] = str(len(value))
            for i, item in enumerate(value):
                if not isinstance(item, dict):
                    raise ConfigError(f"settings.{key_path}.{i}: must be an object like the others")
                pairs.update(flatten(item, f"{key_path}.{i}."))
        elif isinstance(value, list):
            pairs[key_path] = ",".join(_format_value(item, key_path) for item in value)
        else:
            pairs[key_path] = _format_value(value, key_path)
    return pairs


def _format_value(value: Any, path: str) -> str:
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
    """Parse an IPv4 address with a port, such as 10.0.0.4:9000, and return host and port.

    Raises:
        ConfigError: The text is not such an address; the message names `key`.
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


def _limits(content: Any) -> Limits:
    if not isinstance(content, dict):
        raise ConfigError("limits: must be an object")
    values = {"memory_mb": Limits.memory_mb, "sockets": Limits.sockets, **content}
    for key, minimum in (("memory_mb", 32), ("sockets", 64)):
        value = values[key]
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not value >= minimum:
            raise ConfigError(f"limits.{key}: must be a number of {minimum} or more")
    return Limits(float(values["memory_mb"]), int(values["sockets"]))
