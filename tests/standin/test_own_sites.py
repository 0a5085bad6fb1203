"""The own deployments for trials: what each tells, by the one reader of settings."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import pytest

from beaconhinge.config import Config, ConfigError, parse
from beaconhinge.policy.interface import Semantics

SITES = Path(__file__).parent.parent.parent / "deploy" / "sites"
EFFECTS = {
    "safe": Semantics.RETRYABLE,
    "keyed": Semantics.DEDUPLICATED,
    "unsafe": Semantics.UNSAFE,
}
FIELDS = {"queue": "depth", "x0": "x0"}  # as they are named on sockets


def settings(site: dict[str, Any]) -> dict[str, Any]:
    """The site's rules as a dispatcher's configuration has them; ranges stand at their stricter end."""
    allow, fam, rules = site["allow"], site["fam"], site["rules"]
    return {
        "groupSize": 3,
        "myNumber": 0,
        "zone": 0,
        "dcs": site["net"]["zones"],
        "kinds": [kind["name"] for kind in site["tier"][0]["kind"]],
        "membershipMode": "pushed" if site["discovery"]["mode"] == "push" else "on_request",
        "report": {
            "source": site["tier"][0]["report"]["how"],
            "names": [FIELDS[name] for name in site["tier"][0]["report"]["fields"]],
        },
        "familyInfo": {
            "classStretch": [of["stretch"] for of in fam["class"]],
            "progress": fam["progress_s"],
            "tellsStart": fam["tells_start"],
            "reportX0": "free slots",
        },
        "orgs": [
            {"name": of["name"], "share": of["share"], "quotaRps": 0.0} for of in site.get("tenant", [])
        ],
        "overShareWorth": site["load"].get("over_share_worth", 1.0),
        "policyLimits": {
            "cancel": allow["cancel"],
            "peers": allow["peers"],
            "probes": allow["probes"],
            "maxAttempts": allow["max_attempts"],
            "mayDuplicate": allow["second_copies"],
            "retryAfter": allow["retry_after"],
            "idleClose": site["tier"][0]["conn"]["idle_s"],
            "maxRetryAfter": site["clients"]["max_retry_after_ms"] / 1000,
        },
        "rules": {
            "drainGrace": rules["drain_grace_ms"] / 1000,
            "fallMultiple": rules["fall_multiple"],
            "tipAfter": rules["fall_ms"] / 1000,
        },
        "requestClasses": [
            {
                "name": of["name"],
                "aim": of["aim_ms"] / 1000,
                "hardLimit": of["deadline_ms"] / 1000,
                "semantics": EFFECTS[of["effect"]],
                "group": of.get("group", "all"),
                "dedupWindow": of.get("window_ms", 0) / 1000,
                "importance": of["worth"],
            }
            for of in site["class"]
        ],
    }


def config(site: dict[str, Any]) -> Config:
    return parse(
        {"name": "n0", "listen": "127.0.0.1:9000", "discovery": "127.0.0.1:8500", "settings": settings(site)}
    )


@pytest.mark.parametrize(
    ("name", "pushed", "zones", "classes", "tenants"),
    [("toll-pushed", True, 3, 4, 2), ("lab-asked", False, 1, 2, 0)],
)
def test_an_own_deployment_is_read_as_it_stands(
    name: str, pushed: bool, zones: int, classes: int, tenants: int
) -> None:
    site = tomllib.loads((SITES / f"{name}.toml").read_text())
    found = config(site)
    told = found.settings
    assert site["name"] == name
    assert told.membership_on_request is not pushed
    assert told.peer_messages is pushed
    assert (len(found.zones), len(found.class_names), len(found.tenant_names)) == (zones, classes, tenants)
    semantics = [cls.semantics for cls in told.classes]
    assert semantics.count(Semantics.UNSAFE) == semantics.count(Semantics.DEDUPLICATED) == 1
    assert told.free_slots_field == "x0"
    assert told.queue_field == "depth"
    assert [cls.dedup_window_s > 0 for cls in told.classes] == [
        cls.semantics == Semantics.DEDUPLICATED for cls in told.classes
    ]


def test_an_own_deployment_with_an_unknown_effect_is_refused_by_its_key() -> None:
    site = tomllib.loads((SITES / "lab-asked.toml").read_text())
    given = settings(site)
    given["requestClasses"][1]["semantics"] = "unsafe"
    with pytest.raises(ConfigError, match=r"settings\.requestClasses\.1\.semantics"):
        parse({"name": "n0", "listen": "127.0.0.1:9000", "discovery": "127.0.0.1:8500", "settings": given})
