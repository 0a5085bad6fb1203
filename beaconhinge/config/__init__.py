"""Configuration: the platform's JSON (`platform`), and an optional TOML file of this program (`local`).

`local` is not imported here, because it needs msgspec, which the platform's start does without.
"""

from .platform import Address, Config, ConfigError, Limits, flatten, load, parse

__all__ = ["Address", "Config", "ConfigError", "Limits", "flatten", "load", "parse"]
