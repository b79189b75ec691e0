"""A server's part in the fleet, put together: a member of its own, or a server of a cell, with the check of
policies against the server's own configuration. Shared by `serve --fleet` and by the lab's servers without
transactions.

What only one of the two needs is imported when it is made: a server of a cell has no client of the store."""

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
    """Checks policies against one server's own configuration. The content of the text that was accepted last
    is kept, so that it is not parsed again as it comes into force. `check` is called from a thread."""

    def __init__(self, name: str, own: LocalConfiguration) -> None:
        self._name, self._own = name, own
        self._parsed: dict[str, PolicyContent] = {}

    def check(self, text: str) -> str:
        """What is wrong with the text here; "": nothing."""
        try:
            content = parse(text, self._own)
        except InvalidPolicyError as error:
            return f"{self._name}: {error}"
        self._parsed.clear()
        self._parsed[text] = content
        return ""

    def content(self, text: str) -> PolicyContent | None:
        """The content of a text in force ("": no policy is in force); None: it can't be applied here."""
        try:
            return self._parsed.get(text) or parse(text or EMPTY_POLICY, self._own)
        except InvalidPolicyError:
            return None


def make_agent(
    fleet: Fleet,
    name: str,
    own: LocalConfiguration,
    apply: Callable[[PolicyContent], None],
    suspend_admission: Callable[[bool], None],
    load_report: Callable[[], Mapping[str, float]] = dict,
) -> "Agent | CellAgent":
    """Returns the agent of the server `name`.

    The agent's `update_server` calls `apply` and `suspend_admission`. `load_report` returns the server's
    metrics for trials. Raises DirectoryInUseError if another process holds the state directory, and OSError
    if the state directory or a key file can't be read."""
    checker = PolicyChecker(name, own)

    def apply_policy(text: str) -> None:
        content = checker.content(text)
        if content:  # else admission is suspended, and the log says why
            apply(content)

    control = ServerControl(apply_policy, suspend_admission)
    if fleet.relays:
        return _make_cell_agent(fleet, name, own, checker, control)
    return _make_member_agent(fleet, name, own, checker, control, load_report)


def _make_member_agent(
    fleet: Fleet,
    name: str,
    own: LocalConfiguration,
    checker: PolicyChecker,
    control: ServerControl,
    load_report: Callable[[], Mapping[str, float]],
) -> "Agent":
    """A member of its own, with its state directory locked."""
    from otterrudder.fleet.agent import Agent
    from otterrudder.fleet.client import Client
    from otterrudder.fleet.records import MemberStatus
    from otterrudder.fleet.state_file import open_state_directory

    store = Client(fleet)
    directory, record = open_state_directory(fleet, name)
    products = tuple(request_class.name for request_class in own.products)
    status = MemberStatus("", __version__, fleet.zone, products=products)
    agent = Agent(fleet, store, name, status, checker.check, control, directory, record, load_report)
    log.info(
        "of a fleet",
        fleet=fleet.name,
        absent=fleet.rules.absent,
        bound_ms=fleet.rules.bound_ms,
        known=agent.member.applied_policy.version,
        prepared=bool(agent.member.prepared_vote),
        state_directory=str(fleet.state_directory),
    )
    return agent


def _make_cell_agent(
    fleet: Fleet, name: str, own: LocalConfiguration, checker: PolicyChecker, control: ServerControl
) -> "CellAgent":
    """A server of a cell: its relay is a member in its place."""
    from otterrudder.fleet.cell.agent import CellAgent
    from otterrudder.fleet.cell.fingerprint import server_fingerprint

    kind = server_fingerprint(own)
    log.info("of a cell", fleet=fleet.name, relays=fleet.relays, lease_ms=fleet.server_lease_ms, kind=kind)
    return CellAgent(fleet, name, kind, checker.check, control)
