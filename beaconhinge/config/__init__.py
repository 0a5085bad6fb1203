"""Configuration: the platform's JSON, and our own TOML beside it, which loads its library on use (`ours`)."""

from .platform import Address, Config, ConfigError, Limits, flatten, load, parse

__all__ = ["Address", "Config", "ConfigError", "Limits", "flatten", "load", "parse"]
