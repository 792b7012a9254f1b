"""The settings of an agent: a TOML file with the tables `[agent]` and `[timing]`."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import orjson
from msgspec import Meta

from mastlift.configuration.core import Timing
from mastlift.configuration.versions import check_service
from mastlift.settings import BadSettings, Section, address, load

Seconds = Annotated[float, Meta(gt=0)]


class AgentSection(Section, frozen=True):
    """The table `[agent]`. Relative paths are relative to the folder of the settings file."""

    service: str
    name: str  # the id under which this machine's server is registered; `status` lists it even without a report
    base: str  # the machine's part of the proxy's configuration, a JSON file
    file: str  # the file that the proxy's NODE_CONFIG names; only the agent writes it
    state: str  # an existing folder that only this agent uses
    control: str  # the proxy's admin endpoint
    keepers: Annotated[list[str], Meta(min_length=1)]
    metrics: str = ""  # HOST:PORT at which /metrics is served; empty: not served


class TimingSection(Section, frozen=True):
    """The table `[timing]`, in seconds."""

    spacing_s: Seconds = 1.0  # minimum time between two changes of one proxy
    confirm_s: Seconds = 2.0  # time limit for the proxy to act on a signal
    poll_s: Seconds = 2.0  # interval between two polls of the proxy and two checks of its file outside of changes
    report_s: Seconds = 3.0  # mean interval between reports without a change; also the time to detect a hanging watch
    spread_s: Annotated[float, Meta(ge=0)] = 0.2  # the reports of one change are spread over this time


class AgentSettings(Section, frozen=True):
    """A complete settings file of an agent."""

    agent: AgentSection
    timing: TimingSection = TimingSection()

    def core_timing(self) -> Timing:
        timing = self.timing
        return Timing(
            spacing_ms=timing.spacing_s * 1e3,
            confirm_ms=timing.confirm_s * 1e3,
            poll_ms=timing.poll_s * 1e3,
            file_check_ms=timing.poll_s * 1e3,
        )


def load_agent(path: Path) -> AgentSettings:
    """Read and check a settings file. Raises BadSettings, which names file, key and expected value."""
    settings = load(path, AgentSettings)
    agent = settings.agent
    try:
        check_service(agent.service, "agent.service")
        if not agent.name or "/" in agent.name or not agent.name.isprintable():
            raise BadSettings(f"agent.name: '{agent.name}' is no name: some printable characters, no /")
        address(agent.control, "agent.control")
        for keeper in agent.keepers:
            address(keeper, "agent.keepers")
        if agent.metrics:
            address(agent.metrics, "agent.metrics")
        _check_paths(agent, path.parent)
    except BadSettings as error:
        raise BadSettings(f"{path}: {error}") from error
    return settings


def _check_paths(agent: AgentSection, folder: Path) -> None:
    if not (folder / agent.state).is_dir():
        raise BadSettings(f"agent.state: {folder / agent.state} is no folder; make it first (mkdir -p)")
    if not (folder / agent.file).parent.is_dir():
        raise BadSettings(f"agent.file: {(folder / agent.file).parent} is no folder; make it first (mkdir -p)")
    if (folder / agent.file).resolve() == (folder / agent.base).resolve():
        raise BadSettings("agent.file: it is the base file; the agent needs a file of its own to write")
    read_base(folder / agent.base)


def read_base(path: Path) -> dict[str, Any]:
    """Read the machine's part of the proxy's configuration. Raises BadSettings."""
    try:
        base = orjson.loads(path.read_bytes())
    except OSError as error:
        raise BadSettings(f"agent.base: {path}: {error.strerror}") from error
    except ValueError as error:
        raise BadSettings(f"agent.base: {path}: it is no JSON: {error}") from error
    if not isinstance(base, dict) or not isinstance(base.get("settings", {}), dict):
        raise BadSettings(f"agent.base: {path}: an object is expected, with an object under 'settings' if any")
    return base
