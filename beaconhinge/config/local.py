"""Our own configuration: one TOML file, a table for each subsystem, all of it optional and off by default.

Unknown keys are refused with the nearest known one; each error is one line that names file, key and reason.
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
    """Where the platform's JSON is. Without it the variable RELAY_CONFIG names the file, as there."""

    config: str = ""


class LogOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Form of the log's lines. `plain` needs no library; the others are written by structlog."""

    format: Literal["plain", "logfmt", "json"] = "plain"


class StoreOptions(Options, frozen=True, forbid_unknown_fields=True):
    """The embedded store; off while `folder` is empty."""

    folder: str = ""


class QuotaSnapshotOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Quota and fleet rate, kept in the store over a restart."""

    interval_s: float = 0.5
    max_age_s: float = 30.0

    def problem(self) -> tuple[str, str] | None:
        """The first faulty key, and why it is."""
        for name in ("interval_s", "max_age_s"):
            if not 0 < getattr(self, name) < float("inf"):
                return name, "must be a number of seconds, more than 0"
        return None


class ProgressOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Answers as streams of server-sent events, for clients that ask for them."""

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
        """The first faulty key, and why it is."""
        for name in self.__struct_fields__[1:]:
            value, least = getattr(self, name), name in ("detached_s", "keep_outcome_s")
            if not (0 <= value if least else 0 < value) or not value < float("inf"):
                return name, "must be a number, 0 or more" if least else "must be a number, more than 0"
        return None


class RecoveryOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a process does that was away: docs/operate/recovery.md."""

    enabled: bool = False
    stall_s: float = 1.0
    max_keys: int = 100_000
    max_result_bytes: int = 16_777_216

    def problem(self) -> tuple[str, str] | None:
        """The first faulty key, and why it is."""
        for name in ("max_keys", "max_result_bytes"):
            if getattr(self, name) < 1:
                return name, "must be 1 or more"
        if not _MIN_STALL_S <= self.stall_s < float("inf"):
            return "stall_s", "must be a number of seconds, 0.3 or more: the module wakes each 0.1 s"
        return None


class LeaseCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A call that one dispatcher makes for all, under the lease of that name."""

    name: str
    to: str
    path: str = "/"
    every_s: float = 3600.0
    longest_s: float = 0.5

    def problem(self, span_s: float) -> str | None:
        """Why the call cannot be made under a lease of that span, or None."""
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
    """Tasks for exactly one dispatcher, or a few: docs/operate/leases.md."""

    enabled: bool = False
    number: int = 1
    members: list[int] = []
    members_before: list[int] = []
    span_s: float = 2.0
    span_before_s: float = 0.0
    calls: list[LeaseCall] = []

    def problem(self) -> tuple[str, str] | None:
        """The first faulty key, and why it is."""
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
    """The whole file: a table for each subsystem."""

    platform: PlatformOptions = PlatformOptions()
    log: LogOptions = LogOptions()
    store: StoreOptions = StoreOptions()
    books: QuotaSnapshotOptions = QuotaSnapshotOptions()
    progress: ProgressOptions = ProgressOptions()
    recovery: RecoveryOptions = RecoveryOptions()
    leases: LeaseOptions = LeaseOptions()


def read(path: str | os.PathLike[str]) -> LocalConfig:
    """The configuration in a file; paths in it are taken from the folder that it is in.

    Raises:
        ConfigError: The file cannot be read, or a key is unknown or faulty.
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
    """The configuration in decoded TOML; errors name the file `name`.

    Raises:
        ConfigError: A key is unknown or faulty.
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


def _check_known_keys(content: Mapping[str, Any], kind: type[msgspec.Struct], name: str, path: str) -> None:
    hints = get_type_hints(kind)
    for key, value in content.items():
        if key not in kind.__struct_fields__:
            near = difflib.get_close_matches(key, kind.__struct_fields__, 1, 0.5)
            hint = f"; did you mean {path}{near[0]}?" if near else ""
            raise ConfigError(f"{name}: {path}{key}: no such key{hint}")
        inner = hints[key]
        if isinstance(inner, type) and issubclass(inner, msgspec.Struct) and isinstance(value, Mapping):
            _check_known_keys(value, inner, name, f"{path}{key}.")


def tables(local_config: LocalConfig) -> dict[str, dict[str, Any]]:
    """Every key with its value, for printing."""
    values: dict[str, dict[str, Any]] = msgspec.to_builtins(local_config)
    return values
