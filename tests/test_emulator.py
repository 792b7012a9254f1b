"""The emulator's machines against queueing theory, and what must always hold of them."""

from __future__ import annotations

import math
import random
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mastlift.lab.emulator.clock import Clock
from mastlift.lab.emulator.machine import Job, Machine, MachineSpec

Draw = Callable[[random.Random], float]


def exponential(rng: random.Random) -> float:
    return rng.expovariate(1.0)


def mean_time(specs: list[MachineSpec], load: float, jobs: int, work: Draw = exponential, turn: str = "random",
              seed: int = 1) -> float:
    """Of a job at machines that get Poisson arrivals at so much of what all can do, after a tenth as warm-up."""
    clock, rng, times = Clock(), random.Random(seed), [0.0, 0.0]
    machines = [Machine(clock, spec) for spec in specs]
    rate = load * sum(spec.cores * spec.speed for spec in specs)
    came = 0

    def arrive() -> None:
        nonlocal came
        came += 1
        machine = machines[came % len(machines) if turn == "robin" else rng.randrange(len(machines))]
        at, counts = clock.now, came > jobs / 10

        def done() -> None:
            if counts:
                times[0] += clock.now - at
                times[1] += 1
        assert machine.offer(Job(work(rng), done))
        if came < jobs:
            clock.after(rng.expovariate(rate), arrive)
    arrive()
    clock.run(math.inf)
    assert times[1] > 0.89 * jobs
    return times[0] / times[1]


def erlang_c(servers: int, load: float) -> float:
    """The chance to wait in M/M/c (Erlang 1917)."""
    offered = servers * load
    last = offered ** servers / math.factorial(servers) / (1.0 - load)
    return last / (sum(offered ** k / math.factorial(k) for k in range(servers)) + last)


def robin_time(machines: int, load: float) -> float:
    """In turn, each machine sees E_k/M/1: a mean of 1 / (1 - s), s the root of s = A*(1 - s) (Kleinrock 1975)."""
    rate, root = load * machines, 0.5
    for _ in range(10_000):
        root = (rate / (rate + 1.0 - root)) ** machines
    return 1.0 / (1.0 - root)


@pytest.mark.parametrize(("servers", "load"), [(1, 0.5), (1, 0.8), (4, 0.5), (4, 0.8), (16, 0.9)])
def test_a_plain_queue_takes_the_time_of_m_m_c(servers: int, load: float) -> None:
    expected = 1.0 + erlang_c(servers, load) / (servers * (1.0 - load))
    measured = mean_time([MachineSpec(cores=servers, slots=servers)], load, 150_000)
    assert measured == pytest.approx(expected, rel=0.05)


@pytest.mark.parametrize("work", [exponential, lambda rng: 1.0, lambda rng: 5.5 if rng.random() < 0.1 else 0.5])
def test_shared_work_takes_a_time_that_only_the_mean_decides(work: Draw) -> None:
    """M/G/1 with processor sharing: 1 / (1 - load) whatever the distribution (Sakata 1971)."""
    assert mean_time([MachineSpec(slots=10_000)], 0.7, 150_000, work) == pytest.approx(1.0 / 0.3, rel=0.05)


@pytest.mark.parametrize("load", [0.6, 0.85])
def test_in_turn_and_by_chance_differ_as_theory_says(load: float) -> None:
    specs = [MachineSpec()] * 8
    assert mean_time(specs, load, 200_000) == pytest.approx(1.0 / (1.0 - load), rel=0.05)
    assert mean_time(specs, load, 200_000, turn="robin") == pytest.approx(robin_time(8, load), rel=0.05)


def test_a_cold_machine_gains_its_speed_evenly_and_a_crowded_one_loses_it() -> None:
    clock, ends = Clock(), []
    cold = Machine(clock, MachineSpec(cold_from=0.2, cold_s=10.0), cold=True)
    cold.offer(Job(6.0, lambda: ends.append(clock.now)))  # 10 s at 0.2 to 1.0: a mean of 0.6
    crowded = Machine(clock, MachineSpec(cores=4, slots=9, crowd_at=2, crowd_cost=0.5))
    for _ in range(4):
        crowded.offer(Job(1.0, lambda: ends.append(clock.now)))  # two too many: half of the speed
    clock.run(100.0)
    assert ends[:4] == pytest.approx([2.0] * 4)
    assert ends[4] == pytest.approx(10.0, abs=0.2)


STEPS = st.lists(st.tuples(st.sampled_from(["offer", "off", "run", "slow"]), st.floats(0.01, 3.0), st.integers(0, 99)),
                 max_size=80)


@given(STEPS, st.integers(1, 3), st.integers(1, 5), st.integers(0, 3), st.sampled_from([0.0, 0.3]))
def test_no_job_is_lost_or_done_twice_and_no_work_comes_from_nowhere(
        steps: list[tuple[str, float, int]], cores: int, slots: int, waiting: int, crowd: float) -> None:
    clock = Clock()
    machine = Machine(clock, MachineSpec(cores, 1.5, slots, waiting, 2, crowd, 0.3, 2.0), cold=True)
    jobs: list[Job] = []
    done: list[int] = []
    turned_away = 0
    for what, size, choice in steps:
        if what == "offer":
            number = len(jobs)
            job = Job(size, lambda number=number: done.append(number))  # type: ignore[misc]
            full = machine.in_work == slots and machine.waiting == waiting
            assert machine.offer(job) is not full
            turned_away += full
            jobs.append(job)
        elif what == "off" and jobs:
            machine.call_off(jobs[choice % len(jobs)])
        elif what == "slow":
            machine.slow(choice / 50.0)
        clock.run(clock.now + (size if what == "run" else 0.0))
        states = [job.state for job in jobs]
        assert (states.count("working"), states.count("waiting")) == (machine.in_work, machine.waiting)
        assert machine.in_work == min(slots, machine.held)
        assert machine.worked <= 1.5 * 2.0 * cores * clock.now + 1e-6
    machine.slow(1.0)
    clock.run(clock.now + 1000.0)
    assert not machine.held
    assert sorted(done) == [number for number, job in enumerate(jobs) if job.state == "done"]
    assert len(done) + turned_away + [job.state for job in jobs].count("off") == len(jobs)
    assert machine.worked >= sum(jobs[number].work for number in done) - 1e-6
