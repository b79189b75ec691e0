"""Validation of a policy's text against a server's own configuration, as the actors run it in a thread."""

from collections.abc import Callable

from otterrudder.log import log


def validate_text(validate: Callable[[str], str], server: str, text: str) -> str:
    """Why the server rejects the text, "" if it accepts it. A `validate` that fails rejects it as well."""
    try:
        return validate(text)
    except Exception as error:
        log.exception("a policy could not be validated")
        return f"{server}: {type(error).__name__}: {error}"
