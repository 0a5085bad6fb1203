"""This program's own configuration: a TOML file with a table for each subsystem, all optional.

Subsystems are off by default. An unknown key is an error that suggests the nearest known one. Each error is
one line that names file, key and reason.
"""

from __future__ import annotations

import difflib
import os
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Literal, get_type_hints

import msgspec

from ..leases.terms import LEASE_NAME, Council
from ..store.options import Options
from .platform import ConfigError, address

_MIN_STALL_S = 0.3
_MAX_NUMBER = 65535
_MIN_SPAN_S = 0.5
_MAX_SPAN_S = 60.0
_MIN_CALL_INTERVAL_S = 0.05


class PlatformOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Path of the platform's JSON file; while `config` is empty, the variable RELAY_CONFIG names the file."""

    config: str = ""


class LogOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Format of log lines; `plain` needs no library, `logfmt` and `json` are written by structlog."""

    format: Literal["plain", "logfmt", "json"] = "plain"


class StoreOptions(Options, frozen=True, forbid_unknown_fields=True):
    """Options of the embedded store, which is off while `folder` is empty."""

    folder: str = ""


class QuotaSnapshotOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Snapshots of quotas and of the fleet rate, kept in the store across restarts."""

    interval_s: float = 0.5
    max_age_s: float = 30.0

    def problem(self) -> tuple[str, str] | None:
        """Return the first invalid key and the reason; None if all are valid."""
        for name in ("interval_s", "max_age_s"):
            if not 0 < getattr(self, name) < float("inf"):
                return name, "must be a number of seconds, more than 0"
        return None


class ProgressOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Progress streams: answers as server-sent events, for clients that request them."""

    enabled: bool = False
    keep_alive_s: float = 15.0
    retry_ms: int = 1000
    events_per_s: float = 4.0
    stalled_s: float = 10.0
    max_streams: int = 1000
    max_streams_tenant: int = 500
    detached_s: float = 0.0
    keep_outcome_s: float = 60.0
    max_detached: int = 200

    def problem(self) -> tuple[str, str] | None:
        """Return the first invalid key and the reason; None if all are valid."""
        for name in self.__struct_fields__[1:]:
            value, may_be_zero = getattr(self, name), name in ("detached_s", "keep_outcome_s")
            if not (0 <= value if may_be_zero else 0 < value) or not value < float("inf"):
                return name, "must be a number, 0 or more" if may_be_zero else "must be a number, more than 0"
        return None


class RecoveryOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Recovery of a process after a restart or a stall; see docs/operate/recovery.md."""

    enabled: bool = False
    stall_s: float = 1.0
    max_keys: int = 100_000
    max_result_bytes: int = 16_777_216

    def problem(self) -> tuple[str, str] | None:
        """Return the first invalid key and the reason; None if all are valid."""
        for name in ("max_keys", "max_result_bytes"):
            if getattr(self, name) < 1:
                return name, "must be 1 or more"
        if not _MIN_STALL_S <= self.stall_s < float("inf"):
            return "stall_s", "must be a number of seconds, 0.3 or more: the module wakes each 0.1 s"
        return None


class LeaseCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A periodic HTTP call that only the dispatcher that holds the lease `name` makes."""

    name: str
    to: str
    path: str = "/"
    every_s: float = 3600.0
    longest_s: float = 0.5

    def problem(self, span_s: float) -> str | None:
        """Return why the call cannot be made under a lease of this span in seconds; None if it can."""
        if not LEASE_NAME.fullmatch(self.name):
            return f"{self.name[:50]!r} is no name: letters, digits and dashes, 40 at most"
        if not (_MIN_CALL_INTERVAL_S <= self.every_s < float("inf") and 0 < self.longest_s <= span_s / 2):
            return f"{self.name}: every_s from 0.05, longest_s up to half of span_s"
        is_token = self.path.isascii() and self.path.isprintable() and " " not in self.path
        if not self.path.startswith("/") or not is_token:
            return f"{self.name}: path must begin with / and hold no blanks"
        try:
            address(self.to, self.name)
        except ConfigError as error:
            return str(error)
        return None


class LeaseOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Leases for tasks that exactly one dispatcher, or a few, may run; see docs/operate/leases.md."""

    enabled: bool = False
    number: int = 1
    members: list[int] = []
    members_before: list[int] = []
    span_s: float = 2.0
    span_before_s: float = 0.0
    calls: list[LeaseCall] = []

    def problem(self) -> tuple[str, str] | None:
        """Return the first invalid key and the reason; None if all are valid."""
        if not 0 < self.number <= _MAX_NUMBER:
            return "number", "must be between 1 and 65535"
        spans_valid = _MIN_SPAN_S <= self.span_s <= _MAX_SPAN_S and 0 <= self.span_before_s <= _MAX_SPAN_S
        if not spans_valid:
            return "span_s", "must be between 0.5 and 60 seconds, span_before_s 60 at most"
        return self._member_problem() or self._call_problem()

    def _member_problem(self) -> tuple[str, str] | None:
        for key in ("members", "members_before"):
            numbers = getattr(self, key)
            if len(set(numbers)) < len(numbers) or any(not 0 <= number <= _MAX_NUMBER for number in numbers):
                return key, "must be numbers of dispatchers, each once"
        if self.members_before:
            why = Council(self.number, frozenset(self.members), frozenset(self.members_before)).problem()
            if why is not None:
                return "members_before", why
        return None

    def _call_problem(self) -> tuple[str, str] | None:
        for call in self.calls:
            why = call.problem(self.span_s)
            if why is not None:
                return "calls", why
        return None


class LocalConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The content of the TOML file, one table for each subsystem."""

    platform: PlatformOptions = PlatformOptions()
    log: LogOptions = LogOptions()
    store: StoreOptions = StoreOptions()
    books: QuotaSnapshotOptions = QuotaSnapshotOptions()
    progress: ProgressOptions = ProgressOptions()
    recovery: RecoveryOptions = RecoveryOptions()
    leases: LeaseOptions = LeaseOptions()


def read(path: str | os.PathLike[str]) -> LocalConfig:
    """Read a TOML file and return the configuration; paths in it are relative to the file's folder.

    Raises:
        ConfigError: The file cannot be read, or a key is unknown or invalid.
    """
    file = Path(path)
    try:
        content = tomllib.loads(file.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise ConfigError(f"{path}: {error}") from None
    local_config = convert(content, str(path))
    platform, store = local_config.platform, local_config.store
    if platform.config:
        platform = msgspec.structs.replace(platform, config=str(file.parent / platform.config))
    if store.folder:
        store = msgspec.structs.replace(store, folder=str(file.parent / store.folder))
    return msgspec.structs.replace(local_config, platform=platform, store=store)


def convert(content: Mapping[str, Any], name: str) -> LocalConfig:
    """Return the configuration from decoded TOML; errors name the file as `name`.

    Raises:
        ConfigError: A key is unknown or invalid.
    """
    _check_known_keys(content, LocalConfig, name, "")
    try:
        local_config = msgspec.convert(content, LocalConfig)
    except msgspec.ValidationError as error:
        reason, _, place = str(error).partition(" - at `$.")
        raise ConfigError(f"{name}: {place.rstrip('`')}: {reason}") from None
    for table in ("store", "books", "progress", "recovery", "leases"):
        problem = getattr(local_config, table).problem()
        if problem is not None:
            raise ConfigError(f"{name}: {table}.{problem[0]}: {problem[1]}")
    return local_config


def _check_known_keys(content: Mapping[str, Any], struct: type[msgspec.Struct], name: str, path: str) -> None:
    types = get_type_hints(struct)
    for key, value in content.items():
        if key not in struct.__struct_fields__:
            similar = difflib.get_close_matches(key, struct.__struct_fields__, 1, 0.5)
            hint = f"; did you mean {path}{similar[0]}?" if similar else ""
            raise ConfigError(f"{name}: {path}{key}: no such key{hint}")
        field_type = types[key]
        if (
            isinstance(field_type, type)
            and issubclass(field_type, msgspec.Struct)
            and isinstance(value, Mapping)
        ):
            _check_known_keys(value, field_type, name, f"{path}{key}.")


def to_tables(local_config: LocalConfig) -> dict[str, dict[str, Any]]:
    """Return every key with its value, by table, for printing."""
    values: dict[str, dict[str, Any]] = msgspec.to_builtins(local_config)
    return values
