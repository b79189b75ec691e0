"""Creates the fleet agent of a server, which is either a member itself or a server of a cell, with the
validation of policies against the server's own configuration. `serve --fleet` and the lab's servers that
handle no requests share this code.

Modules that only one kind of agent needs are imported when that agent is created, because a server of a cell
does not load the store client."""

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from otterrudder import __version__
from otterrudder.fleet.configuration import Fleet
from otterrudder.fleet.policy import (
    EMPTY_POLICY,
    InvalidPolicyError,
    LocalConfiguration,
    PolicyContent,
    parse,
)
from otterrudder.fleet.server_control import ServerControl
from otterrudder.log import log

if TYPE_CHECKING:
    from otterrudder.fleet.agent import Agent
    from otterrudder.fleet.cell.agent import CellAgent


class PolicyChecker:
    """Validates policies against one server's own configuration.

    The content of the last accepted text is kept, so that the text is not parsed again when it comes into
    force. `check` is called from a thread."""

    def __init__(self, name: str, local: LocalConfiguration) -> None:
        self._name, self._local = name, local
        self._parsed: dict[str, PolicyContent] = {}

    def check(self, text: str) -> str:
        """Returns why this server rejects the text, or "" if it accepts it."""
        try:
            content = parse(text, self._local)
        except InvalidPolicyError as error:
            return f"{self._name}: {error}"
        self._parsed.clear()
        self._parsed[text] = content
        return ""

    def content(self, text: str) -> PolicyContent | None:
        """Returns the content of the policy in force, or None if this server can't apply it. The text is ""
        if no policy is in force."""
        try:
            return self._parsed.get(text) or parse(text or EMPTY_POLICY, self._local)
        except InvalidPolicyError:
            return None


def make_agent(
    fleet: Fleet,
    name: str,
    local: LocalConfiguration,
    apply: Callable[[PolicyContent], None],
    suspend_admission: Callable[[bool], None],
    load_report: Callable[[], Mapping[str, float]] = dict,
) -> "Agent | CellAgent":
    """Returns the agent of the server `name`.

    The agent's `update_server` calls `apply` and `suspend_admission`. `load_report` returns the server's
    metrics for trials. Raises DirectoryInUseError if another process holds the state directory, and OSError
    if the state directory or a key file can't be read."""
    checker = PolicyChecker(name, local)

    def apply_policy(text: str) -> None:
        content = checker.content(text)
        if content:  # otherwise admission is suspended, and the log says why
            apply(content)

    control = ServerControl(apply_policy, suspend_admission)
    if fleet.relays:
        return _make_cell_agent(fleet, name, local, checker, control)
    return _make_member_agent(fleet, name, local, checker, control, load_report)


def _make_member_agent(
    fleet: Fleet,
    name: str,
    local: LocalConfiguration,
    checker: PolicyChecker,
    control: ServerControl,
    load_report: Callable[[], Mapping[str, float]],
) -> "Agent":
    """Returns the agent of a server that is a member itself, with its state directory locked."""
    from otterrudder.fleet.agent import Agent
    from otterrudder.fleet.client import Client
    from otterrudder.fleet.records import MemberStatus
    from otterrudder.fleet.state_file import open_state_directory

    store = Client(fleet)
    directory, record = open_state_directory(fleet, name)
    products = tuple(request_class.name for request_class in local.products)
    status = MemberStatus("", __version__, fleet.zone, products=products)
    agent = Agent(fleet, store, name, status, checker.check, control, directory, record, load_report)
    log.info(
        "running as a fleet member",
        fleet=fleet.name,
        absent=fleet.rules.absent,
        bound_ms=fleet.rules.bound_ms,
        known=agent.member.applied_policy.version,
        prepared=bool(agent.member.prepared_vote),
        state_directory=str(fleet.state_directory),
    )
    return agent


def _make_cell_agent(
    fleet: Fleet, name: str, local: LocalConfiguration, checker: PolicyChecker, control: ServerControl
) -> "CellAgent":
    """Returns the agent of a server of a cell, whose relay is the fleet member."""
    from otterrudder.fleet.cell.agent import CellAgent
    from otterrudder.fleet.cell.fingerprint import server_fingerprint

    kind = server_fingerprint(local)
    log.info(
        "running as a server of a cell",
        fleet=fleet.name,
        relays=fleet.relays,
        lease_ms=fleet.server_lease_ms,
        kind=kind,
    )
    return CellAgent(fleet, name, kind, checker.check, control)
