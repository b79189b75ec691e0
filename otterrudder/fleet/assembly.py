"""A server's member of the fleet, put together: its store client, its folder, the check of policies against
its own configuration. Shared by `serve --fleet` and by the lab's servers without txns."""

from collections.abc import Callable, Mapping

from otterrudder import __version__
from otterrudder.fleet.agent import Agent, Orders, open_folder
from otterrudder.fleet.client import Client
from otterrudder.fleet.configuration import Fleet
from otterrudder.fleet.policy import NO_POLICY, BadPolicy, Content, Own, parse
from otterrudder.fleet.records import Live


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
) -> Agent:
    """The agent of the server `name`, its folder taken. `apply` and `stand_aside` are called from the agent's
    `pulse`. Busy: the folder is another process's; OSError: it, or the store's keys, can't be read."""
    checker = PolicyChecker(name, own)

    def take(text: str) -> None:
        content = checker.content(text)
        if content:  # else it stands aside, and says why
            apply(content)

    store = Client(fleet)
    folder, record = open_folder(fleet, name)
    products = tuple(product.name for product in own.products)
    live = Live("", __version__, fleet.zone, products=products)
    return Agent(fleet, store, name, live, checker.check, Orders(take, stand_aside), folder, record, facts)
