"""Configuration agents in simulated time: the real core, the real files on a disk that loses and tears what was not
synced, and models of the keepers, the network and the proxies. One seed replays one run.

Faults: keepers that lag, are cut off, or come back from a backup; agents killed at any step, also within a write;
machines that crash; proxies that are killed, hang, or refuse a version; full disks; lost memories of agents; files
edited by hand; changed base files; clocks of unequal rates.

The rules: within one process of a proxy no version follows a newer one, and across its restarts none that was reported
in force; what is reported in force is in force; the last version arrives once the faults end; a refused one never stays
in the file; the file is whole at each moment.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

import orjson

from mastlift.configuration import core as a
from mastlift.configuration.saved import SavedFile, load_saved, save_last_good, save_target, sync_directories
from mastlift.configuration.versions import (
    Rendered,
    Version,
    VersionId,
    digest_and_version,
    make_version,
    merge,
    parse_version_id,
    render,
)
from mastlift.durable.disk import DiskFailed, DiskFull, write_file_atomically
from mastlift.lab.crash import Broken
from mastlift.lab.simdisk import Loss, SimDisk

SERVICE, FILE = "s", "proxy.json"
MACHINES = 5
LENGTH_MS, CALM_MS = 60_000.0, 45_000.0  # faults for so long, then so much time to settle
PUT_EVERY_MS, FAULT_EVERY_MS = 2500.0, 1100.0
STALE_SHARE = 0.3  # of what agents read from keepers is not the newest
REFUSED_SHARE = 0.15  # of versions, by one machine each
CRASH_AFTER_KILL = 0.8  # of agents killed within a write: the machine follows, and takes back what was not synced
SUPERVISOR_MS = 700.0  # a proxy that ended is started again after about so long
BY_HAND = orjson.dumps({"settings": {"by hand": True}})
TIMING = a.Timing(restart_ms=4000.0)


class Killed(Exception):
    """The agent ended within a step of its disk."""


class SimProxy:
    """What a proxy does with its file: at the start, and at SIGHUP."""

    def __init__(self, machine: SimMachine) -> None:
        self.machine = machine
        self.up = False
        self.pid = self.reloads = 0
        self.refused = ""
        self.raw: dict[str, Any] = {}
        self.digest = ""
        self.hangs_until = 0.0
        self.hung_signal = False
        self.highest: VersionId | None = None  # of this process

    def start(self) -> None:
        run, machine = self.machine.run, self.machine
        if self.up:
            return
        data = machine.read_file()
        if self.problem(data):
            run.seen["starts that failed"] += 1
            run.after(run.rng.uniform(0.5, 1.5) * SUPERVISOR_MS, self.start)
            return
        self.up, self.pid, self.reloads, self.refused, self.highest = True, self.pid + 1, 0, "", None
        self.hangs_until, self.hung_signal = 0.0, False
        self._take(data)

    def problem(self, data: bytes) -> str:
        """Why this proxy does not take the file."""
        try:
            raw = orjson.loads(data)
        except ValueError as error:
            return f"no JSON: {error}"
        return f"{self.machine.name} refuses it" if self.machine.name in raw["settings"].get("refused_by", ()) else ""

    def _take(self, data: bytes) -> None:
        machine = self.machine
        self.raw = orjson.loads(data)
        self.digest, named = digest_and_version(data, SERVICE)
        if data == BY_HAND:
            self.highest = None  # what was in force before cannot be known to an agent that was not there
        if named is None:
            return
        if self.highest is not None and named < self.highest:
            raise machine.run.broken(
                f"{machine.name}: process {self.pid} took version {show(named)} after {show(self.highest)}"
            )
        if machine.reported is not None and named < machine.reported:
            raise machine.run.broken(
                f"{machine.name} took version {show(named)} after {show(machine.reported)} was reported in force"
            )
        self.highest = named

    def signal(self) -> None:
        if self.machine.run.now < self.hangs_until:
            self.hung_signal = True
            return
        data = self.machine.read_file()
        self.reloads += 1
        self.refused = self.problem(data)
        if not self.refused:
            self._take(data)

    def hang(self, ms: float) -> None:
        self.hangs_until = self.machine.run.now + ms
        self.machine.run.after(ms, self._wake)

    def _wake(self) -> None:
        if self.up and self.hung_signal and self.machine.run.now >= self.hangs_until:
            self.hung_signal = False
            self.signal()

    def kill(self) -> None:
        if self.up:
            self.up = False
            self.machine.run.after(self.machine.run.rng.uniform(0.1, 6.0) * SUPERVISOR_MS, self.start)

    def reading(self) -> a.ProxyState:
        version = parse_version_id(self.raw.get("version"), SERVICE)
        return a.ProxyState(self.pid, self.digest, version, self.reloads, self.refused)


class SimMachine:
    """One machine: two folders, a proxy, and an agent while one lives."""

    def __init__(self, run: ConfigRun, number: int) -> None:
        self.run, self.name = run, f"m{number}"
        self.base: dict[str, Any] = {"name": self.name, "settings": {"zone": number}}
        self.files, self.state = SimDisk(number), SimDisk(100 + number)
        self.rate = run.rng.uniform(0.99, 1.01)
        self.reported: VersionId | None = None  # the newest that was ever reported in force
        self.forgot = False  # the agent lost its memory and has not yet got it back
        self.cut = False
        self.edited = False  # by hand, and not yet put back
        self.files_full = False
        self.rendered: dict[str, bytes] = {}
        write_file_atomically(self.files, FILE, orjson.dumps(self.base))
        self.proxy = SimProxy(self)
        self.proxy.start()
        self.agent: SimAgent | None = None
        self.start_agent()

    def start_agent(self) -> None:
        if self.agent is None:
            self.agent = SimAgent(self)
            self.agent.begin()

    def kill_agent(self) -> None:
        if self.agent is not None:
            self.agent.alive, self.agent = False, None
            self.run.after(self.run.rng.uniform(50.0, 4000.0), self.start_agent)

    def crash(self, loss: Loss) -> None:
        """The whole machine."""
        self.kill_agent()
        self.proxy.kill()
        self.files, self.state = self.files.crash(loss, self.run.rng), self.state.crash(loss, self.run.rng)
        if self.files_full:
            self.fill()
        self.read_file()

    def crash_before_calm(self) -> None:
        if not self.run.calm:
            self.crash(Loss.ALL)

    def read_file(self) -> bytes:
        """Checks that it is whole."""
        data = self.files.files().get(FILE)
        if data is None:
            raise self.run.broken(f"{self.name}: the file is gone")
        if data != BY_HAND:
            try:
                digest, named = digest_and_version(data, SERVICE)
            except ValueError:
                raise self.run.broken(f"{self.name}: the file is not whole") from None
            if named is not None and self.rendered.get(digest) != data:
                raise self.run.broken(f"{self.name}: the file is none that was ever written")
        return data

    def fill(self) -> None:
        self.files_full = True
        self.files.capacity = self.state.capacity = 0

    def free(self) -> None:
        self.files_full = False
        self.files.capacity = self.state.capacity = 1 << 40

    def edit(self) -> None:
        if not self.forgot and not self.files_full:
            write_file_atomically(self.files, FILE, BY_HAND)
            self.edited = True


class SimAgent:
    """The driver's part, in simulated time; it dies with `alive`."""

    def __init__(self, machine: SimMachine) -> None:
        self.machine, self.run = machine, machine.run
        self.alive, self.busy = True, False
        self.answered_raw: dict[str, Any] | None = None  # what the proxy had at its last answer
        self.work: list[a.Action] = []
        self.version: Version | None = None
        self.known: dict[str, Rendered] = {}
        self.tick_number = 0
        sync_directories(machine.state, machine.files)
        saved, target, last_good = load_saved(machine.state, SERVICE), None, None
        if saved.problems:
            raise self.run.broken(f"{machine.name}: a saved file is damaged: {saved.problems}")
        if saved.target is not None:
            target = self.candidate(saved.target)
        if saved.last_good is not None:
            one = Rendered(saved.last_good.id, saved.last_good.data.encode(), saved.last_good.digest)
            self.known[one.digest] = one
            last_good = a.Candidate(one.id, one.digest)
        self.core = a.AgentCore(TIMING, target=target, last_good=last_good)

    def candidate(self, version: Version) -> a.Candidate:
        self.version = version
        one = render(self.machine.base, version)
        self.known[one.digest] = one
        self.machine.rendered[one.digest] = one.data
        return a.Candidate(one.id, one.digest)

    def begin(self) -> None:
        self.feed(a.Tick())
        self.learn_newest()

    def after(self, ms: float, call: Callable[[], None]) -> None:
        self.run.after(ms, lambda: call() if self.alive else None)

    def now(self) -> float:
        return self.run.now * self.machine.rate

    # --- the keepers ---

    def learn_newest(self) -> None:
        """Through whatever keeper it has: some lag."""
        rng = self.run.rng
        if not self.machine.cut and self.run.versions:
            known = self.run.versions
            lags = rng.random() < STALE_SHARE and not self.run.calm
            version = rng.choice(known[-6:]) if lags else known[-1]
            self.after(rng.expovariate(1 / 40.0), lambda: self.learned(version))

    def learned(self, version: Version) -> None:
        if self.version is None or version.id > self.version.id:
            self.feed(a.VersionLearned(self.candidate(version)))
        elif version.id < self.version.id:  # the driver drops it; the core has to as well
            self.feed(a.VersionLearned(a.Candidate(version.id, render(self.machine.base, version).digest)))

    # --- the core ---

    def feed(self, event: a.Event) -> None:
        core, run = self.core, self.run
        actions = core.handle(event, self.now())
        for action in actions:
            if isinstance(action, a.PollProxy):
                self.ask()
            else:
                self.work.append(action)
        self.check_report()
        self.check_refused(actions)
        self.tick_number += 1
        number = self.tick_number
        wait = max(0.0, core.next_tick(self.now()) - self.now()) / self.machine.rate + 0.01
        run.after(wait, lambda: self.feed(a.Tick()) if self.alive and number == self.tick_number else None)
        self.next()

    def check_report(self) -> None:
        machine, report = self.machine, self.core.report(self.now())
        if report.in_force is not None and report.in_force.number and machine.proxy.up:
            raw = machine.proxy.raw
            named = parse_version_id(raw.get("version"), SERVICE)
            shown = self.answered_raw
            if shown is None or parse_version_id(shown.get("version"), SERVICE) != report.in_force:
                raise self.run.broken(
                    f"{machine.name}: version {show(report.in_force)} is reported in force; the proxy has {show(named)}"
                )
        if report.condition is a.Condition.IN_FORCE and report.in_force is not None:
            machine.reported = max(machine.reported or report.in_force, report.in_force)
            machine.forgot = False

    def check_refused(self, actions: list[a.Action]) -> None:
        """With no trial under way the file is none that the proxy refuses, unless somebody else has put it there."""
        machine, core = self.machine, self.core
        quiet = core.phase is a.Phase.IDLE and not self.work and not self.busy and core.proxy_state is not None
        if quiet and not actions and not machine.edited and not machine.forgot and not machine.files_full:
            problem = machine.proxy.problem(machine.read_file())
            if problem and self.now() >= core._next_write:
                raise self.run.broken(
                    f"{machine.name}: no trial is under way, and the file is one that its proxy does "
                    f"not take: {problem}"
                )

    # --- what the core asks for ---

    def ask(self) -> None:
        rng, proxy = self.run.rng, self.machine.proxy

        def there() -> None:
            if not proxy.up:
                self.after(rng.expovariate(1.0), lambda: self.feed(a.ProxyUnresponsive("connection refused", True)))
            elif self.run.now < proxy.hangs_until:
                self.after(1000.0, lambda: self.feed(a.ProxyUnresponsive("no answer", False)))
            else:
                reading, raw = proxy.reading(), proxy.raw
                self.after(rng.expovariate(1 / 3.0), lambda: back(reading, raw))

        def back(reading: a.ProxyState, raw: dict[str, Any]) -> None:
            self.answered_raw = raw
            self.feed(a.ProxyAnswered(reading))

        self.after(rng.expovariate(1 / 3.0), there)

    def next(self) -> None:
        if self.work and not self.busy:
            self.busy = True
            action = self.work.pop(0)
            self.after(self.run.rng.expovariate(1 / 4.0), lambda: self.do(action))

    def do(self, action: a.Action) -> None:
        try:
            self.machine.files.on_step = self.machine.state.on_step = self.run.maybe_kill
            event = self.done(action)
        except Killed:
            self.run.seen["agents killed within a write"] += 1
            self.machine.kill_agent()
            if self.run.rng.random() < CRASH_AFTER_KILL:
                self.run.after(self.run.rng.uniform(500.0, 6000.0), self.machine.crash_before_calm)
            return
        finally:
            self.machine.files.on_step = self.machine.state.on_step = lambda: None
        if self.run.rng.random() < self.run.kill_after_step:
            self.run.seen["agents killed after a step"] += 1
            self.machine.kill_agent()
            return
        self.after(self.run.rng.expovariate(1 / 2.0), lambda: self.finished(event))

    def finished(self, event: a.Event | None) -> None:
        self.busy = False
        if event is not None:
            self.feed(event)
        self.next()

    def done(self, action: a.Action) -> a.Event | None:
        machine = self.machine
        match action:
            case a.WriteFile(one):
                return self.write(one)
            case a.SaveTarget(one):
                if self.version is not None and self.version.id == one.id:
                    try:
                        save_target(machine.state, self.version)
                    except (DiskFull, DiskFailed):
                        self.run.seen["saves that failed"] += 1
            case a.SaveLastGood(one):
                return self.save_last_good(one)
            case a.SendSignal():
                proxy = machine.proxy
                if not proxy.up or self.run.now < proxy.hangs_until:
                    return a.SignalFailed("no answer")
                before = proxy.reading()
                proxy.signal()
                self.run.seen["signals"] += 1
                return a.SignalSent(before)
            case a.CheckFile():
                return self.look()
        return None

    def look(self) -> a.Event:
        data = self.machine.read_file()
        digest, version = digest_and_version(data, SERVICE)
        if version is not None:
            self.known.setdefault(digest, Rendered(version, data, digest))
        return a.FileChecked(digest, version)

    def write(self, one: a.Candidate) -> a.Event:
        if one.digest not in self.known:
            return a.FileFailed(one, "its content is not known")
        try:
            write_file_atomically(self.machine.files, FILE, self.known[one.digest].data)
        except (DiskFull, DiskFailed) as error:
            return a.FileFailed(one, str(error))
        self.machine.edited = False
        return a.FileWritten(one)

    def saved_file(self, one: a.Candidate) -> SavedFile:
        return SavedFile(SERVICE, one.id, one.digest, self.known[one.digest].data.decode())

    def save_last_good(self, one: a.Candidate) -> a.Event:
        if one.digest not in self.known:
            data = self.machine.read_file()
            if digest_and_version(data, SERVICE)[0] != one.digest:
                return a.LastGoodNotSaved(one, "replaced before it could be kept")
            self.known[one.digest] = Rendered(one.id, data, one.digest)
        try:
            save_last_good(self.machine.state, self.saved_file(one))
        except (DiskFull, DiskFailed) as error:
            return a.LastGoodNotSaved(one, str(error))
        return a.LastGoodSaved(one)


def show(version: VersionId | None) -> str:
    return f"{version.history}.{version.number}" if version is not None else "none"


class ConfigRun:
    """One run. `without` leaves out the faults of these numbers, which makes a broken one shorter."""

    def __init__(self, seed: int, without: frozenset[int] = frozenset()) -> None:
        self.seed, self.rng, self.faults = seed, random.Random(seed), random.Random(seed * 7 + 1)
        self.without, self.fault_number = without, 0
        self.now, self.order = 0.0, 0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.seen: Counter[str] = Counter()
        self.trace: list[str] = []
        self.history, self.versions = 1, list[Version]()
        self.calm = False
        self.kill_in_write = self.kill_after_step = 0.0
        self.machines = [SimMachine(self, number) for number in range(MACHINES)]
        self.after(500.0, self.put_some)
        self.after(1500.0, self.fault)

    # --- time ---

    def after(self, ms: float, call: Callable[[], None]) -> None:
        self.order += 1
        heapq.heappush(self.events, (self.now + ms, self.order, call))

    def run(self) -> None:
        self.after(LENGTH_MS, self.heal)
        end = LENGTH_MS + CALM_MS
        while self.events and self.events[0][0] <= end:
            self.now, _, call = heapq.heappop(self.events)
            call()
        self.now = end
        self.check_end()

    def broken(self, what: str) -> Broken:
        return Broken(f"at {self.now:.0f} ms: {what}")

    def note(self, what: str) -> None:
        self.trace.append(f"{self.now:9.1f} {what}")

    def maybe_kill(self) -> None:
        if self.kill_in_write and self.rng.random() < self.kill_in_write:
            raise Killed

    # --- the operators ---

    def put(self, refused: bool) -> None:
        number = self.versions[-1].id.number + 1 if self.versions else 1
        settings: dict[str, Any] = {"marker": number, "padding": "x" * self.rng.randrange(2000)}
        if refused:
            settings["refused_by"] = [self.rng.choice(self.machines).name]
        id_ = VersionId(self.history, number)
        self.versions.append(make_version(SERVICE, id_, {"settings": settings}, int(self.now)))
        self.seen["versions"] += 1
        self.note(f"version {show(id_)} is put{', refused by ' + settings['refused_by'][0] if refused else ''}")
        self.tell()

    def tell(self) -> None:
        for machine in self.machines:
            if machine.agent is not None:
                machine.agent.learn_newest()

    def put_some(self) -> None:
        if self.calm:
            return
        for number in range(self.rng.choice((1, 1, 1, 2, 8))):
            self.after(
                number * self.rng.uniform(5.0, 120.0),
                lambda: None if self.calm else self.put(self.rng.random() < REFUSED_SHARE),
            )
        self.after(self.rng.expovariate(1 / PUT_EVERY_MS), self.put_some)

    # --- faults ---

    def fault(self) -> None:
        if self.calm:
            return
        rng = self.faults
        machine, kind = rng.choice(self.machines), rng.choice(FAULTS)
        size, loss = rng.random(), rng.choice(tuple(Loss))
        self.fault_number += 1
        if self.fault_number - 1 not in self.without:
            self.note(f"fault {self.fault_number - 1}: {kind} at {machine.name}")
            self.seen[kind] += 1
            self.do_fault(kind, machine, size, loss)
        self.after(rng.expovariate(1 / FAULT_EVERY_MS), self.fault)

    def do_fault(self, kind: str, machine: SimMachine, size: float, loss: Loss) -> None:
        match kind:
            case "agent killed":
                machine.kill_agent()
            case "steps that kill":
                self.kill_in_write, self.kill_after_step = 0.12, 0.05
                self.after(3000.0 * size, self.no_more_kills)
            case "machine crash":
                machine.crash(loss)
            case "proxy killed":
                machine.proxy.kill()
            case "proxy hangs":
                machine.proxy.hang(8000.0 * size)
            case "cut off":
                machine.cut = True
                self.after(9000.0 * size, lambda: self.join(machine))
            case "disk full":
                machine.fill()
                self.after(5000.0 * size, machine.free)
            case "memory lost":
                self.lose_memory(machine)
            case "edited by hand":
                machine.edit()
                if size < 0.5 and machine.proxy.up and not machine.forgot:
                    machine.proxy.signal()
            case "base changed":
                machine.base = {**machine.base, "limits": {"sockets": int(1000 * size) + 1}}
                if machine.agent is not None and machine.agent.version is not None:
                    machine.agent.feed(a.VersionLearned(machine.agent.candidate(machine.agent.version)))
            case "backup restored":
                self.restore(size)

    def no_more_kills(self) -> None:
        self.kill_in_write = self.kill_after_step = 0.0

    def join(self, machine: SimMachine) -> None:
        machine.cut = False
        if machine.agent is not None:
            machine.agent.learn_newest()

    def lose_memory(self, machine: SimMachine) -> None:
        """The agent's folder is emptied; not while the file, or what is in force, is somebody's edit."""
        proxy = machine.proxy
        by_hand = machine.edited or proxy.raw == orjson.loads(BY_HAND)
        if not by_hand and proxy.up and not proxy.problem(machine.read_file()):
            machine.kill_agent()
            machine.state, machine.forgot = SimDisk(self.rng.randrange(1 << 30)), True

    def restore(self, size: float) -> None:
        """The keepers go on from some versions ago, in a new history."""
        if len(self.versions) > 4 and size < 0.3:
            del self.versions[-self.rng.randrange(1, 4) :]
            self.history += 1
            self.tell()

    # --- the end ---

    def heal(self) -> None:
        self.calm = True
        self.no_more_kills()
        self.note("all heals")
        for machine in self.machines:
            machine.cut = False
            machine.free()
            machine.start_agent()
        self.put(refused=self.seed % 3 == 0)
        self.keep_telling()

    def keep_telling(self) -> None:
        """As watches that are taken up again, and reports, do."""
        self.tell()
        self.after(5000.0, self.keep_telling)

    def check_end(self) -> None:
        last = self.versions[-1]
        for machine in self.machines:
            agent, proxy = machine.agent, machine.proxy
            if agent is None or not proxy.up:
                raise self.broken(f"{machine.name}: the {'proxy' if agent else 'agent'} has not come back")
            report = agent.core.report(agent.now())
            if machine.name in last.content["settings"].get("refused_by", ()):
                if report.condition is not a.Condition.REFUSED or report.in_force == last.id:
                    raise self.broken(f"{machine.name} refuses {show(last.id)}, and reports {report}")
            elif report.condition is not a.Condition.IN_FORCE or report.in_force != last.id:
                raise self.broken(f"{machine.name} has not got {show(last.id)}: {report}")
            elif proxy.raw["settings"] != merge(machine.base, last.content)["settings"]:
                raise self.broken(f"{machine.name}: the proxy has other settings than those of {show(last.id)}")


FAULTS = (
    "agent killed",
    "steps that kill",
    "machine crash",
    "proxy killed",
    "proxy hangs",
    "cut off",
    "disk full",
    "memory lost",
    "edited by hand",
    "base changed",
    "backup restored",
)


def check_configuration(seed: int, without: frozenset[int] = frozenset()) -> Counter[str]:
    """One run; what happened in it. Raises Broken."""
    run = ConfigRun(seed, without)
    run.run()
    return run.seen
