"""Simulated clients: they submit jobs to dispatchers, and may repeat a job that was refused or failed."""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Callable
from functools import partial

from .clock import Clock
from .entities import ClientJob, Node
from .plan import BURST_S, Plan

# Period in seconds of the periodic change of traffic.
LOAD_SWING_PERIOD_S = 11
# Multiple of the normal traffic during a burst.
BURST_FACTOR = 1.5
# Shortest and longest time in seconds until a client repeats a job that was refused or failed.
RETRY_DELAY_S = (0.01, 0.08)
# Passes a job to a dispatcher, with the seconds that the client still waits.
Submit = Callable[[ClientJob, Node, float], None]


class Clients:
    """All clients: each submits one job, and may repeat it once."""

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        plan: Plan,
        nodes: list[Node],
        counters: Counter[str],
        submit: Submit,
    ) -> None:
        self.clock = clock
        self.random = rng
        self.plan = plan
        self.nodes = nodes
        self.counters = counters
        self.submit = submit
        self.jobs: list[ClientJob] = []

    def schedule(self, jobs_per_s: float) -> None:
        """Draw all jobs of the run and schedule them; `jobs_per_s` is the fleet's capacity."""
        plan, rng, at = self.plan, self.random, 0.0
        phase = rng.uniform(0, LOAD_SWING_PERIOD_S)
        while True:
            load = 1 + plan.load_swing * math.sin(2 * math.pi * (at + phase) / LOAD_SWING_PERIOD_S)
            if plan.fault == "burst" and plan.fault_at_s <= at < plan.fault_at_s + BURST_S:
                load *= BURST_FACTOR
            at += rng.expovariate(plan.load * jobs_per_s * load)
            if at >= plan.seconds:
                return
            job = self._draw_job(at)
            self.jobs.append(job)
            self.clock.after(at, partial(self._send, job))

    def _draw_job(self, at: float) -> ClientJob:
        plan, rng = self.plan, self.random
        classes, tenant_shares = plan.site.job_classes, plan.site.tenant_shares or (1.0,)
        index = rng.choices(range(len(classes)), [job_class.share for job_class in classes])[0]
        job_class = classes[index]
        work = job_class.draw(rng)
        tenant = rng.choices(range(len(tenant_shares)), tenant_shares)[0]
        first_zone = plan.site.zones == 1 or rng.random() < 0.5 * (1 + plan.zone_skew)
        two_slots = job_class.two_slot_share and rng.random() < job_class.two_slot_share
        return ClientJob(at, index, job_class, tenant, 0 if first_zone else 1, work, 2 if two_slots else 1)

    def _send(self, job: ClientJob) -> None:
        job.submissions += 1
        self.counters["submissions"] += 1
        admitted = [node for node in self.nodes if node.admitted] or self.nodes
        node = self.random.choice([node for node in admitted if node.zone == job.zone] or admitted)
        left_s = job.job_class.deadline_s - (self.clock.now - job.sent_at)
        if not node.up or left_s <= 0:
            self.finish(job, "failed", 0.0)
        else:
            self.submit(job, node, left_s)

    def finish(self, job: ClientJob, outcome: str, retry_after_s: float) -> None:
        """Give a client its final answer.

        A client whose job was refused or failed may repeat it once, after `retry_after_s` seconds at least.
        """
        job.outcome = outcome
        if outcome == "served":
            job_class = job.job_class
            due = job.sent_at + job_class.latency_objective_s + job_class.stretch * job.work
            job.in_time = self.clock.now <= due
        elif job.submissions == 1 and self.random.random() < self.plan.client_retry_chance:
            wait_s = max(retry_after_s, self.random.uniform(*RETRY_DELAY_S))
            self.clock.after(wait_s, partial(self._send, job))
