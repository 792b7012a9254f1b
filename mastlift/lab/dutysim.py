"""Holders of one duty in simulated time, on the group of `groupsim`: its core, its store, the keepers' lease arithmetic
and the holder's, with calls and answers that are lost or very late, clocks of unequal rates, and pauses of anybody.

The rule, checked at each action: no two holders may act at the same true time, and tokens only grow. Beside each holder
runs a command that asks no clock: its guard ends it, or its holder does; both may be late. It may act after a later one
has begun only while both stand still.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable

from mastlift.duty.clock import HolderClock, HoldState
from mastlift.duty.command import BACKUP_BEFORE_MS, KILL_BEFORE_MS
from mastlift.lab.leasesim import LeaseGroup
from mastlift.store import commands as c

KEY = "duty/x/holder"
HOLDERS = 4
TTL_MS = 900
ACT_MS = 12.0
Heard = Callable[[c.Result | None], None]


class Guard:
    """Ends its holder's command when the last deadline that it was sent has passed, unless it stands still itself."""

    def __init__(self, holder: Holder, token: int) -> None:
        self.holder, self.group, self.token = holder, holder.group, token
        self.paused_until = 0.0
        self.runs = True
        self.kill_at = 0.0

    def now(self) -> float:
        """The machine's clock, as the holder's."""
        return self.holder.now()

    def watch(self, kill_at: float) -> None:
        """A new deadline; it only moves on."""
        if kill_at > self.kill_at:
            self.kill_at = kill_at
            self._wait()

    def _wait(self) -> None:
        self.group.after(max(self.kill_at - self.now(), 0.0) / self.holder.rate, self._look)

    def _look(self) -> None:
        if not self.runs:
            return
        if self.group.now < self.paused_until:
            self.group.at(self.paused_until, self._look)
        elif self.now() >= self.kill_at - 1e-6:
            self.runs = False

    def act(self) -> None:
        """What the command does, as long as it runs; no clock is asked."""
        if not self.runs:
            return
        self.group.command_acted(self)
        self.group.after(self.holder.rng.expovariate(1 / ACT_MS), self.act)

    def is_excused(self) -> bool:
        """Both who would end the command stand still."""
        now = self.group.now
        return now <= self.paused_until and now <= self.holder.paused_until


class Holder:
    """One candidate: takes the duty when it is free, renews, acts, and leaves now and then."""

    def __init__(self, group: DutyGroup, number: int) -> None:
        self.group, self.rng = group, random.Random(group.seed * 101 + number)
        self.rate, self.name = self.rng.uniform(0.99, 1.01), b"h%d" % number
        self.paused_until = 0.0
        self.lease = self.token = 0
        self.clock = HolderClock(TTL_MS, lost=True)
        self.guard: Guard | None = None
        self.acted = 0

    def now(self) -> float:
        return self.group.now * self.rate

    def after(self, ms: float, event: Callable[[], None]) -> None:
        """By true time; what falls into a pause waits for its end."""

        def awake() -> None:
            if self.group.now < self.paused_until:
                self.group.at(self.paused_until, awake)
            else:
                event()

        self.group.after(ms, awake)

    def call(self, command: c.Command, heard: Heard) -> None:
        """To the leader and back. None: no answer in time; it may come later, or the command may have held."""
        rng, open_ = self.rng, [True]

        def answer(result: c.Result | None) -> None:
            if open_[0]:
                open_[0] = result is None
                heard(result)

        def back(result: c.Result) -> None:
            late = rng.random() < 0.05
            if rng.random() > 0.03:
                self.after(rng.uniform(300, 3000) if late else rng.expovariate(1 / 8.0), lambda: answer(result))

        def there() -> None:
            self.group.submit(command, back)

        if rng.random() > 0.03:
            self.group.after(rng.uniform(200, 2500) if rng.random() < 0.03 else rng.expovariate(1 / 8.0), there)
        self.after(400.0, lambda: answer(None) if open_[0] else None)

    def begin(self) -> None:
        self.clock, self.lease, self.token = HolderClock(TTL_MS), 0, 0
        sent, clock = self.now(), self.clock

        def heard(result: c.Result | None) -> None:
            if clock is not self.clock or self.lease:
                return
            if result is None:
                self.after(self.rng.uniform(50, 300), self.begin)
                return
            self.lease = result.number
            self.granted(sent)
            self.try_to_take(clock)
            self.renew(clock)

        self.call(c.Grant(TTL_MS), heard)

    def granted(self, sent: float) -> None:
        self.clock.renewed(sent)

    def try_to_take(self, clock: HolderClock) -> None:
        if clock is not self.clock or clock.lost or self.token:
            return

        def heard(result: c.Result | None) -> None:
            if clock is not self.clock or self.token:
                return
            if result is not None and result.outcome is c.Outcome.NO_LEASE:
                self.lose(clock)
                return
            entry = result.entries[0] if result is not None and result.entries else None
            if entry is not None and entry.lease == self.lease:
                self.token = entry.created
                self.run_command(clock)
                self.act(clock)
            else:
                self.after(self.rng.uniform(20, 200), lambda: self.try_to_take(clock))

        self.call(
            c.Txn(
                (c.Compare(KEY, c.Field.VERSION, c.Comparison.EQUAL, 0),),
                (c.Put(KEY, self.name, self.lease),),
                (c.Get(KEY),),
            ),
            heard,
        )

    def renew(self, clock: HolderClock) -> None:
        if clock is not self.clock or clock.lost:
            return
        sent = self.now()

        def heard(result: c.Result | None) -> None:
            if clock is not self.clock:
                return
            if result is not None and result.outcome is c.Outcome.OK:
                self.renewed(sent)
            elif result is not None:
                self.lose(clock)

        self.call(c.Renew(self.lease), heard)
        self.after(clock.renew_every_ms, lambda: self.renew(clock))

    def renewed(self, sent: float) -> None:
        self.clock.renewed(sent)
        if self.guard is not None and self.guard.runs:
            self.guard.watch(self.clock.expires_at - KILL_BEFORE_MS)

    def run_command(self, clock: HolderClock) -> None:
        """Unless its time is over before it could begin."""
        if clock.state(self.now()) is not HoldState.HELD:
            return
        guard = self.guard = Guard(self, self.token)
        guard.watch(clock.expires_at - KILL_BEFORE_MS)
        guard.act()
        self.back_up(clock, guard)

    def back_up(self, clock: HolderClock, guard: Guard) -> None:
        """End the command in its guard's place, where that is late. This process may be late as well."""
        if not guard.runs:
            return
        left = clock.valid_until - BACKUP_BEFORE_MS - self.now()
        if left <= 0.0:
            guard.runs = False
        else:
            self.after(left / self.rate, lambda: self.back_up(clock, guard))

    def end_command(self) -> None:
        """At once: the duty is given back, or is another's."""
        if self.guard is not None:
            self.guard.runs = False

    def lose(self, clock: HolderClock) -> None:
        clock.mark_lost()
        self.end_command()
        self.after(self.rng.uniform(20, 300), self.begin)

    def act(self, clock: HolderClock) -> None:
        """Asks its clock, then acts in the same instant."""
        if clock is not self.clock or clock.lost:
            return
        if clock.state(self.now()) is HoldState.HELD:
            self.acted += 1
            self.group.acted(self)
            if self.rng.random() < 0.004:
                clock.mark_lost()
                self.end_command()
                self.call(c.Revoke(self.lease), lambda _: None)
                self.after(self.rng.uniform(20, 300), self.begin)
                return
        self.after(self.rng.expovariate(1 / ACT_MS), lambda: self.act(clock))

    def may_act(self) -> bool:
        return bool(self.token) and self.clock.state(self.now()) is HoldState.HELD


class DutyGroup(LeaseGroup):
    """A group's schedule with holders on it instead of the clients' history alone."""

    def __init__(self, seed: int, without: frozenset[int] = frozenset()) -> None:
        self.highest = self.highest_command = 0
        self.owners: dict[int, HolderClock] = {}  # each holding has a clock of its own
        super().__init__(seed, without=without)
        self.holders = [Holder(self, number) for number in range(HOLDERS)]
        for holder in self.holders:
            self.after(600.0 + 20.0 * len(holder.name), holder.begin)
            self._pauses(holder)

    def _pauses(self, holder: Holder) -> None:
        def pause() -> None:
            if self.now < self.length * self.faults.calm_from:
                long = holder.rng.choice((30.0, 200.0, 1000.0, 3000.0)) * holder.rng.random()
                if holder.rng.random() < 0.4:  # a holder that wakes just as its lease ends is the case worth the time
                    long = TTL_MS * holder.rng.uniform(0.75, 1.05)
                whole = holder.rng.random()
                if whole < 0.8:  # a pause within a longer one does not end it
                    holder.paused_until = max(holder.paused_until, self.now + long)
                if whole > 0.4 and holder.guard is not None:
                    holder.guard.paused_until = max(holder.guard.paused_until, self.now + long)
                self._pauses(holder)

        self.after(holder.rng.expovariate(1 / 1500.0), pause)

    # --- the rule ---

    def acted(self, holder: Holder) -> None:
        for other in self.holders:
            if other is not holder and other.may_act():
                raise self.broken(
                    f"{holder.name.decode()} acts with token {holder.token} while {other.name.decode()} "
                    f"holds with token {other.token}"
                )
        if self.owners.setdefault(holder.token, holder.clock) is not holder.clock:
            raise self.broken(f"{holder.name.decode()} acts with token {holder.token}, which was given before")
        if holder.token < self.highest:
            raise self.broken(f"{holder.name.decode()} acts with token {holder.token} after {self.highest} has")
        if holder.token > self.highest:
            self.seen["holders in turn"] += 1
        self.highest = holder.token
        self.seen["actions"] += 1

    def command_acted(self, guard: Guard) -> None:
        """By a command, which may act on only while nobody who would end it is awake."""
        if guard.token < self.highest_command:
            if not guard.is_excused():
                raise self.broken(
                    f"the command with token {guard.token} acts after {self.highest_command} has, and "
                    "one who would have ended it is awake"
                )
            self.seen["late actions of commands"] += 1
        self.highest_command = max(self.highest_command, guard.token)
        self.seen["actions of commands"] += 1


def check_duties(seed: int, without: frozenset[int] = frozenset()) -> Counter[str]:
    """One schedule; what happened in it. Raises Broken."""
    group = DutyGroup(seed, without)
    group.run()
    late = group.seen["actions"]
    if not late or not any(holder.acted for holder in group.holders):
        raise group.broken("nobody ever acted")
    return group.seen
