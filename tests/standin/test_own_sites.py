"""Reads the trial deployments in deploy/sites with the parser of the dispatcher's configuration."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import pytest

from beaconhinge.config import Config, ConfigError, parse
from beaconhinge.policy.interface import Semantics

SITES = Path(__file__).parent.parent.parent / "deploy" / "sites"
SEMANTICS_BY_EFFECT = {
    "safe": Semantics.RETRYABLE,
    "keyed": Semantics.DEDUPLICATED,
    "unsafe": Semantics.UNSAFE,
}
REPORT_FIELD_NAMES = {"queue": "depth", "x0": "x0"}  # names in load reports sent over sockets


def settings(site: dict[str, Any]) -> dict[str, Any]:
    """Return the settings of a dispatcher at the site; of each range the stricter end."""
    allow, family, rules = site["allow"], site["fam"], site["rules"]
    return {
        "groupSize": 3,
        "myNumber": 0,
        "zone": 0,
        "dcs": site["net"]["zones"],
        "kinds": [kind["name"] for kind in site["tier"][0]["kind"]],
        "membershipMode": "pushed" if site["discovery"]["mode"] == "push" else "on_request",
        "report": {
            "source": site["tier"][0]["report"]["how"],
            "names": [REPORT_FIELD_NAMES[name] for name in site["tier"][0]["report"]["fields"]],
        },
        "familyInfo": {
            "classStretch": [job_class["stretch"] for job_class in family["class"]],
            "progress": family["progress_s"],
            "tellsStart": family["tells_start"],
            "reportX0": "free slots",
        },
        "orgs": [
            {"name": tenant["name"], "share": tenant["share"], "quotaRps": 0.0}
            for tenant in site.get("tenant", [])
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
                "name": job_class["name"],
                "aim": job_class["aim_ms"] / 1000,
                "hardLimit": job_class["deadline_ms"] / 1000,
                "semantics": SEMANTICS_BY_EFFECT[job_class["effect"]],
                "group": job_class.get("group", "all"),
                "dedupWindow": job_class.get("window_ms", 0) / 1000,
                "importance": job_class["worth"],
            }
            for job_class in site["class"]
        ],
    }


def config(site: dict[str, Any]) -> Config:
    """Return the parsed configuration of a dispatcher at the site."""
    return parse(
        {"name": "n0", "listen": "127.0.0.1:9000", "discovery": "127.0.0.1:8500", "settings": settings(site)}
    )


@pytest.mark.parametrize(
    ("name", "pushed", "zones", "classes", "tenants"),
    [("toll-pushed", True, 3, 4, 2), ("lab-asked", False, 1, 2, 0)],
)
def test_a_trial_deployment_is_parsed_with_all_its_settings(
    name: str, pushed: bool, zones: int, classes: int, tenants: int
) -> None:
    """Guards against settings of a deployment that are lost or misread."""
    site = tomllib.loads((SITES / f"{name}.toml").read_text())
    parsed = config(site)
    parsed_settings = parsed.settings
    assert site["name"] == name
    assert parsed_settings.membership_on_request is not pushed
    assert parsed_settings.peer_messages is pushed
    assert (len(parsed.zones), len(parsed.class_names), len(parsed.tenant_names)) == (zones, classes, tenants)
    semantics = [job_class.semantics for job_class in parsed_settings.classes]
    assert semantics.count(Semantics.UNSAFE) == semantics.count(Semantics.DEDUPLICATED) == 1
    assert parsed_settings.free_slots_field == "x0"
    assert parsed_settings.queue_field == "depth"
    assert [job_class.dedup_window_s > 0 for job_class in parsed_settings.classes] == [
        job_class.semantics == Semantics.DEDUPLICATED for job_class in parsed_settings.classes
    ]


def test_unknown_semantics_are_rejected_with_their_key() -> None:
    """Guards against an unknown value that is accepted, or whose error does not name its key."""
    site = tomllib.loads((SITES / "lab-asked.toml").read_text())
    given = settings(site)
    given["requestClasses"][1]["semantics"] = "unsafe"
    with pytest.raises(ConfigError, match=r"settings\.requestClasses\.1\.semantics"):
        parse({"name": "n0", "listen": "127.0.0.1:9000", "discovery": "127.0.0.1:8500", "settings": given})
