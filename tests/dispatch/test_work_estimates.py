"""Clients' hints of a job's cost: parsed, filled in where missing, bounded where they are outliers."""

from __future__ import annotations

import random
import statistics
from collections import Counter

import pytest
from harness import Harness, job_bytes, next_event, run_scenario, use_scripted_policy

from beaconhinge.dispatch.work_estimates import MEDIAN_MIN_HINTS, OUTLIER_FACTOR, WorkEstimator
from beaconhinge.policy import interface
from beaconhinge.runtime.metrics import Metrics


def test_deployment_with_few_hints_gets_no_estimates() -> None:
    estimator = WorkEstimator()
    hints_s = [(n % 5 == 4) * 1e-6 for n in range(500)]  # one client in five sends a hint far too small
    assert [estimator.estimate_s(n % 3, work, 5.0) for n, work in enumerate(hints_s)] == [0.0] * 500
    assert not estimator.in_use


def test_rough_hints_pass_and_missing_hint_is_the_mean_of_its_class() -> None:
    rng, estimator = random.Random(1), WorkEstimator()
    hints_s = [
        rng.lognormvariate(0, 1.2) for _ in range(2000)
    ]  # sigma 1.2: hints from below a tenth to over ten times the median
    estimates = [estimator.estimate_s(0, work, 30.0) for work in hints_s]
    assert sum(got == work for got, work in zip(estimates, hints_s, strict=True)) > 1980
    assert estimator.estimate_s(0, 0.0, 30.0) == pytest.approx(statistics.mean(hints_s), rel=0.5)
    cheap_estimates = [estimator.estimate_s(1, 0.01, 30.0) for _ in range(20)]
    assert cheap_estimates == [0.01] * 20
    assert estimator.estimate_s(1, 0.0, 30.0) == pytest.approx(0.01)
    # A class whose clients never send a hint gets the mean of all jobs.
    assert estimator.estimate_s(2, 0.0, 30.0) > 0


@pytest.mark.parametrize("absurd", [1e12, 1e-9])
def test_absurd_hints_are_bounded_and_affect_no_other_estimate(absurd: float) -> None:
    estimator = WorkEstimator()
    assert estimator.estimate_s(0, absurd, 5.0) <= 5.0
    for number in range(400):
        hint_s = absurd if number % 4 == 0 else 0.5
        work = estimator.estimate_s(0, hint_s, 5.0)
        if number > MEDIAN_MIN_HINTS:
            assert work == 0.5 or hint_s == absurd and 0.5 / OUTLIER_FACTOR <= work <= 0.5 * OUTLIER_FACTOR
    assert estimator.bounded_count >= 95


def test_22_fold_cost_increase_is_not_bounded_nor_affects_other_classes() -> None:
    estimator = WorkEstimator()
    for _ in range(100):
        assert (estimator.estimate_s(0, 0.5, 5.0), estimator.estimate_s(1, 3.0, 25.0)) == (0.5, 3.0)
    for _ in range(50):
        assert (estimator.estimate_s(0, 11.0, 5.0), estimator.estimate_s(1, 3.0, 25.0)) == (11.0, 3.0)
    assert estimator.bounded_count == 0


def test_use_of_hints_follows_their_share_without_flapping() -> None:
    estimator, switches, was_in_use = WorkEstimator(), 0, True
    for number in range(600):
        share = [1.0, 0.5, 0.1][number // 200]
        estimator.estimate_s(0, 0.5 if (number * 7 % 20) < 20 * share else 0.0, 5.0)
        switches += estimator.in_use != was_in_use
        was_in_use = estimator.in_use
    assert switches == 1
    assert not estimator.in_use


def test_hint_reaches_the_policy_and_malformed_hint_rejects_no_job(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against hints that are not parsed: `size_hint` stayed 0, and every class counted as one of mean cost."""
    module, counted, count = use_scripted_policy(monkeypatch), Counter[str](), Metrics.count

    def counting(metrics: Metrics, name: str, by: int = 1) -> None:
        counted[name] += by
        count(metrics, name, by)

    monkeypatch.setattr(Metrics, "count", counting)

    async def scenario(harness: Harness) -> None:
        seen = []
        for number, cost in enumerate(("250000", "500000.5", None, "a lot", "-1", "nan", "9" * 32)):
            _, client = await harness.open()
            client.write(job_bytes(X_Request_ID=f"r{number}", X_Cost=cost))
            seen.append((await next_event(module, interface.JobArrived)).size_hint)
        assert seen[:2] == [0.25, 0.5000005]
        # The mean is used in place of a missing or malformed hint.
        assert all(0.25 <= work <= 0.51 for work in seen[2:6])
        assert seen[6] <= 5.0  # bounded by the seconds that the client waits
        assert counted["work_hint_malformed"] == 3
        assert counted["work_hints_bounded"] == 1

    run_scenario(scenario)
