"""Many schedules at once, over all cores; the first broken one is shrunk and told so that it replays."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor, as_completed
from contextlib import nullcontext
from dataclasses import dataclass, field
from itertools import islice
from os import cpu_count

from mastlift.lab.configsim import ConfigRun, check_configuration
from mastlift.lab.crash import Broken
from mastlift.lab.dutysim import DutyGroup, check_duties
from mastlift.lab.groupsim import Group, Replayed, check_group, shrink
from mastlift.lab.listsim import ListGroup, check_lists
from mastlift.lab.mutations import CONFIG_MUTATIONS, DUTY_MUTATIONS, GROUP_MUTATIONS, LIST_MUTATIONS, mutated

AT_ONCE = 8  # schedules handed to a process together


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of schedule: how it is checked and made, and which rules can be broken in it."""

    check: Callable[[int, frozenset[int]], Counter[str]]
    make: Callable[[int, frozenset[int]], Replayed]
    mutations: tuple[str, ...]


KINDS = {
    "consensus": Kind(check_group, lambda seed, without: Group(seed, without=without), tuple(GROUP_MUTATIONS)),
    "duties": Kind(check_duties, DutyGroup, tuple(DUTY_MUTATIONS)),
    "discovery": Kind(check_lists, ListGroup, tuple(LIST_MUTATIONS)),
    "configuration": Kind(check_configuration, ConfigRun, tuple(CONFIG_MUTATIONS)),
}


@dataclass(slots=True)
class Found:
    """`schedules` were played; `broken` tells of the first one that broke a rule, and how to replay it."""

    schedules: int = 0
    seen: Counter[str] = field(default_factory=Counter)
    broken: str = ""
    trace: list[str] = field(default_factory=list)


def _some(what: str, seeds: list[int], without: frozenset[int], mutation: str) -> tuple[Counter[str], int | None, str]:
    seen = Counter[str]()
    with mutated(mutation) if mutation else nullcontext():
        for seed in seeds:
            try:
                seen += KINDS[what].check(seed, without)
            except (Broken, AssertionError, IndexError) as error:  # the core's own assertions count too
                return seen, seed, f"{type(error).__name__}: {error}"
    return seen, None, ""


def play(
    seeds: Iterable[int],
    without: frozenset[int] = frozenset(),
    mutation: str = "",
    progress: Callable[[int], None] = lambda n: None,
    shrink_tries: int = 200,
    what: str = "consensus",
) -> Found:
    """Play the schedules of these seeds; ends at the first that breaks a rule, the lowest of those under way, and
    shrinks it in so many tries."""
    found, left = Found(), iter(seeds)
    groups = iter(lambda: list(islice(left, AT_ONCE)), [])
    worst: tuple[int, str] | None = None
    with ProcessPoolExecutor(cpu_count()) as pool:
        futures = {}
        for group in groups:
            futures[pool.submit(_some, what, group, without, mutation)] = group
        for future in as_completed(futures):
            if future.cancelled():
                continue
            group = futures[future]
            seen, seed, text = future.result()
            found.seen += seen
            done = len(group) if seed is None else group.index(seed) + 1
            found.schedules += done
            progress(done)
            if seed is not None:
                worst = min(worst or (seed, text), (seed, text))
                for other in futures:
                    other.cancel()
    if worst is not None:
        with mutated(mutation) if mutation else nullcontext():
            fewer, text, found.trace = without, "", []
            if not without:
                fewer, text, found.trace = shrink(worst[0], shrink_tries, KINDS[what].make)
        found.broken = (
            f"{text or worst[1]}  (replay: mastlift lab check {what} --runs 1 --seed {worst[0]}"
            + (f" --without {','.join(map(str, sorted(fewer)))}" if fewer else "")
            + (f" --mutation {mutation})" if mutation else ")")
        )
    return found
