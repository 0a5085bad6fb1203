"""Real processes that hear late, or not at all, that boxes leave: judged by when boxes got their jobs."""

from __future__ import annotations

import asyncio

import pytest

from beaconhinge.standin.rig import Fault, Story, Verdict, play

SMALL = {"processes": 5, "boxes": 6, "slots": 8, "rate": 60.0, "keyed": 0.0, "render_s": 0.1,
         "patience_s": 0.8, "seconds": 9.0, "store": False, "recovery": False}
WHOLE = [Fault(0.7, "drain", 8.0, boxes=2)]

STORIES = [
    Story("watches fall silent as boxes begin to drain", seed=41, faults=[Fault(0.6, "mute", 0.1), *WHOLE], **SMALL),
    Story("the same, pushed", seed=42, pushed=True, faults=[Fault(0.6, "mute", 0.1), *WHOLE], **SMALL),
    Story("agents away as boxes begin to drain", seed=43, pushed=True,
          faults=[Fault(0.5, "discovery", 1.5), *WHOLE], **SMALL),
    Story("started again with an old list, pushed", seed=44, pushed=True,
          faults=[*WHOLE, Fault(2.0, "kill", 0.2, [1]), Fault(2.5, "term", 0.2, [3])], **SMALL),
    Story("stopped as boxes begin to drain", seed=45, pushed=True, faults=[Fault(0.5, "stop", 1.5, [1, 2]), *WHOLE],
          **{**SMALL, "recovery": True})]


@pytest.fixture(scope="module")
def verdicts() -> dict[str, Verdict]:
    async def all_of_them() -> list[Verdict]:
        limit = asyncio.Semaphore(3)

        async def one(story: Story) -> Verdict:
            async with limit:
                return await play(story)

        return await asyncio.gather(*(one(story) for story in STORIES))

    return dict(zip((story.name for story in STORIES), asyncio.run(all_of_them()), strict=True))


@pytest.mark.parametrize("story", STORIES, ids=lambda story: story.name)
def test_nothing_goes_to_a_box_that_counts_as_leaving(story: Story, verdicts: dict[str, Verdict]) -> None:
    """Silent watches were noticed when what they missed counted as told; agents were never asked at all."""
    verdict = verdicts[story.name]
    assert verdict.broken == [], verdict.last
    assert verdict.faults["drain"] == 2 and verdict.ends["200"] > 0.7 * verdict.asked > 150
    assert verdict.counters.get("watch_silent", 0) >= 4 or "silent" not in story.name


def test_only_drains_need_a_box_that_stays() -> None:
    """A story with one box was refused for any fault."""
    assert Story("one box", boxes=1, racks=1, faults=[Fault(1.0, "stop", 1.0)]).problem() is None
    assert "boxes" in str(Story("one box", boxes=1, racks=1, faults=[Fault(1.0, "drain", 1.0)]).problem())
