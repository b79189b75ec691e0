"""A server's part in the fleet, put together: a member of its own, or a server of a cell, with the check of
policies against the server's own configuration. Shared by `serve --fleet` and by the lab's servers without
transactions.

What only one of the two needs is imported when it is made: a server of a cell carries no client of the
store."""

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from otterrudder import __version__
from otterrudder.fleet.configuration import Fleet
from otterrudder.fleet.orders import Orders
from otterrudder.fleet.policy import NO_POLICY, BadPolicy, Content, Own, parse
from otterrudder.log import log

if TYPE_CHECKING:
    from otterrudder.fleet.agent import Agent
    from otterrudder.fleet.cell.agent import CellAgent


class PolicyChecker:
    """Checks policies against one server's own configuration. The content of the text that was accepted last
    is kept, so that it is not parsed again as it comes into force. `check` is called from a thread."""

    def __init__(self, name: str, own: Own) -> None:
        self._name, self._own = name, own
        self._parsed: dict[str, Content] = {}

    def check(self, text: str) -> str:
        """What is wrong with the text here; "": nothing."""
        try:
            content = parse(text, self._own)
        except BadPolicy as trouble:
            return f"{self._name}: {trouble}"
        self._parsed.clear()
        self._parsed[text] = content
        return ""

    def content(self, text: str) -> Content | None:
        """What a text in force says ("": no policy is in force); None: it can't be taken here."""
        try:
            return self._parsed.get(text) or parse(text or NO_POLICY, self._own)
        except BadPolicy:
            return None


def make_agent(
    fleet: Fleet,
    name: str,
    own: Own,
    apply: Callable[[Content], None],
    stand_aside: Callable[[bool], None],
    facts: Callable[[], Mapping[str, float]] = dict,
) -> "Agent | CellAgent":
    """The agent of the server `name`. `apply` and `stand_aside` are called from the agent's `pulse`. Busy:
    the folder is another process's; OSError: it, or a file of keys, can't be read."""
    checker = PolicyChecker(name, own)

    def take(text: str) -> None:
        content = checker.content(text)
        if content:  # else it stands aside, and says why
            apply(content)

    orders = Orders(take, stand_aside)
    if fleet.relays:
        return _make_cell_agent(fleet, name, own, checker, orders)
    return _make_member_agent(fleet, name, own, checker, orders, facts)


def _make_member_agent(
    fleet: Fleet,
    name: str,
    own: Own,
    checker: PolicyChecker,
    orders: Orders,
    facts: Callable[[], Mapping[str, float]],
) -> "Agent":
    """A member of its own, with its folder taken."""
    from otterrudder.fleet.agent import Agent, open_folder
    from otterrudder.fleet.client import Client
    from otterrudder.fleet.records import Live

    store = Client(fleet)
    folder, record = open_folder(fleet, name)
    live = Live("", __version__, fleet.zone, products=tuple(product.name for product in own.products))
    agent = Agent(fleet, store, name, live, checker.check, orders, folder, record, facts)
    log.info(
        "of a fleet",
        fleet=fleet.name,
        absent=fleet.rules.absent,
        bound_ms=fleet.rules.bound_ms,
        known=agent.member.known.version,
        pledged=bool(agent.member.pledge),
        folder=str(fleet.folder),
    )
    return agent


def _make_cell_agent(
    fleet: Fleet, name: str, own: Own, checker: PolicyChecker, orders: Orders
) -> "CellAgent":
    """A server of a cell: its relay is a member in its place."""
    from otterrudder.fleet.cell.agent import CellAgent
    from otterrudder.fleet.cell.fingerprint import server_fingerprint

    kind = server_fingerprint(own)
    log.info("of a cell", fleet=fleet.name, relays=fleet.relays, lease_ms=fleet.server_lease_ms, kind=kind)
    return CellAgent(fleet, name, kind, checker.check, orders)
