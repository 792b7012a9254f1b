"""Model of a server's machine: cores, concurrency slots, a bounded queue, cold starts and slowdown under concurrency.

Running jobs share the cores evenly: egalitarian processor sharing (Kleinrock 1967), with at most one core per job. With
as many slots as cores this is a plain multi-server queue. Work is measured in seconds of one core at speed 1. All
running jobs receive service at the same rate, so one counter of attained service serves them all, and an event costs
O(log n) in the number of running jobs.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from heapq import heappop, heappush

from mastlift.lab.emulator.clock import Clock, ScheduledCall

COLD_STEP_S = 0.1  # interval in which the speed of a machine that warms up is treated as constant
TOLERANCE_S = 1e-9  # absorbs rounding errors when the end of a job is compared with the service attained


@dataclass(frozen=True, slots=True)
class MachineSpec:
    """Capacity of a machine; ValueError for values out of range.

    `speed`: work that a core does per second. `slots`: jobs that run at once. `waiting`: jobs that may queue for a
    slot. `crowd_at`, `crowd_cost`: each running job beyond `crowd_at` lengthens the service time of all jobs by the
    share `crowd_cost`. `cold_from`, `cold_s`: a cold machine starts at the share `cold_from` of its speed, which grows
    linearly to the full speed within `cold_s` seconds.
    """

    cores: int = 1
    speed: float = 1.0
    slots: int = 1
    waiting: float = math.inf
    crowd_at: float = math.inf
    crowd_cost: float = 0.0
    cold_from: float = 1.0
    cold_s: float = 0.0

    def __post_init__(self) -> None:
        for name, least in (
            ("cores", 1),
            ("slots", 1),
            ("waiting", 0),
            ("crowd_at", 0),
            ("crowd_cost", 0),
            ("cold_s", 0),
        ):
            if getattr(self, name) < least:
                raise ValueError(f"{name} must be at least {least}, got {getattr(self, name)}")
        if not self.speed > 0 or not 0 < self.cold_from <= 1:
            raise ValueError(f"speed must be above 0 and cold_from in (0, 1], got {self.speed} and {self.cold_from}")


class Job:
    """An amount of work in core seconds.

    `done` is called once, when the work is complete; never for a job that was rejected or cancelled.
    """

    __slots__ = ("done", "ends_at", "state", "work")

    def __init__(self, work: float, done: Callable[[], None]) -> None:
        self.work, self.done = work, done
        self.state = "new"  # then "waiting", "working", "done", or "off" once cancelled
        self.ends_at = 0.0  # the attained service of the machine at which the job is complete


class Machine:
    """Runs jobs on the emulator's clock, by the capacity that a `MachineSpec` describes."""

    def __init__(self, clock: Clock, spec: MachineSpec, *, cold: bool = False) -> None:
        self._clock, self.spec = clock, spec
        self._started_at = clock.now if cold else -math.inf
        self._waiting: deque[Job] = deque()
        self._working: list[tuple[float, int, Job]] = []  # a heap by the attained service at which each job is complete
        self._order = self.running = self._waiting_count = 0
        self._attained = 0.0  # service in core seconds that a job running since the start would have received
        self._rate = 0.0  # growth of the attained service per second
        self._updated_at = clock.now
        self._due: ScheduledCall | None = None
        self.speed_factor = 1.0  # set by fault injection; 0 pauses the machine
        self.work_done_s = 0.0  # total core seconds, including work for jobs that were cancelled later

    @property
    def held(self) -> int:
        """Jobs that run or wait."""
        return self.running + self._waiting_count

    @property
    def waiting(self) -> int:
        return self._waiting_count

    def warmup_factor(self) -> float:
        """The share of its full speed that the machine has at this time of its warm-up."""
        age = self._clock.now - self._started_at
        if age >= self.spec.cold_s:
            return 1.0
        return self.spec.cold_from + (1.0 - self.spec.cold_from) * age / self.spec.cold_s

    def offer(self, job: Job) -> bool:
        """Start or queue a job; False if it is rejected because all slots and the queue are full."""
        if self.running >= self.spec.slots and self._waiting_count >= self.spec.waiting:
            return False
        self._update_progress()
        if self.running < self.spec.slots:
            self._start_job(job)
        else:
            job.state = "waiting"
            self._waiting.append(job)
            self._waiting_count += 1
        self._schedule_next()
        return True

    def cancel_job(self, job: Job) -> None:
        """Cancel a job and free its slot or its place in the queue at once; no effect on a completed job."""
        self._update_progress()
        if job.state == "waiting":
            self._waiting_count -= 1
        elif job.state == "working":
            self.running -= 1
        else:
            return
        job.state = "off"
        self._start_waiting_jobs()
        self._schedule_next()

    def slow(self, factor: float) -> None:
        """Multiply the machine's own speed by this factor from now on."""
        self._update_progress()
        self.speed_factor = factor
        self._schedule_next()

    def _start_job(self, job: Job) -> None:
        job.state = "working"
        job.ends_at = self._attained + job.work
        self._order += 1
        heappush(self._working, (job.ends_at, self._order, job))
        self.running += 1

    def _start_waiting_jobs(self) -> None:
        while self._waiting_count and self.running < self.spec.slots:
            job = self._waiting.popleft()
            if job.state == "waiting":
                self._waiting_count -= 1
                self._start_job(job)

    def _update_progress(self) -> None:
        """Account for the service given since the last update, at the rate that held in between."""
        passed = self._clock.now - self._updated_at
        self._updated_at = self._clock.now
        self._attained += self._rate * passed
        self.work_done_s += self._rate * passed * self.running

    def _schedule_next(self) -> None:
        """Schedule the completion of the next job at the current speed."""
        if self._due is not None:
            self._due.cancel()
            self._due = None
        while self._working and self._working[0][2].state != "working":
            heappop(self._working)
        spec, jobs = self.spec, self.running
        if not jobs:
            self._rate = 0.0
            return
        crowd = 1.0 / (1.0 + spec.crowd_cost * max(jobs - spec.crowd_at, 0.0)) if spec.crowd_cost else 1.0
        warmup_factor = self.warmup_factor()
        self._rate = spec.speed * self.speed_factor * crowd * warmup_factor * min(1.0, spec.cores / jobs)
        wait = (self._working[0][0] - self._attained) / self._rate if self._rate else math.inf
        if warmup_factor < 1.0:
            wait = min(wait, COLD_STEP_S)
        if wait < math.inf:
            self._due = self._clock.after(max(wait, 0.0), self._complete_jobs)

    def _complete_jobs(self) -> None:
        self._due = None
        self._update_progress()
        ended = []
        while self._working and self._working[0][0] <= self._attained + TOLERANCE_S:
            job = heappop(self._working)[2]
            if job.state == "working":
                job.state = "done"
                self.running -= 1
                ended.append(job)
        self._start_waiting_jobs()
        self._schedule_next()
        for job in ended:
            job.done()
