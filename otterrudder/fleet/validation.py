"""Validates a policy's text against a server's own configuration. The agents run this in a thread."""

from collections.abc import Callable

from otterrudder.log import log


def validate_text(validate: Callable[[str], str], server: str, text: str) -> str:
    """Returns why the server rejects the text, or "" if it accepts it. An exception from `validate` is a
    rejection."""
    try:
        return validate(text)
    except Exception as error:
        log.exception("the validation of a policy failed")
        return f"{server}: {type(error).__name__}: {error}"
