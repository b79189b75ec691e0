"""Checks before a relay starts that the process may open enough file descriptors."""

import resource

# Streams in addition to the sessions: servers that are refused because the relay is full, and other relays.
SPARE_STREAMS = 64
SPARE_DESCRIPTORS = 64  # descriptors in addition to one per stream: the store, the other relays, log files


class DescriptorLimitError(Exception):
    """The limit on open files is too low for the configured number of sessions."""


def max_streams(max_sessions: int) -> int:
    """Returns the maximum number of streams that a relay with `max_sessions` accepts."""
    return max_sessions + SPARE_STREAMS


def check_descriptors(max_sessions: int) -> None:
    """Raises DescriptorLimitError if the limit on open files is too low; operators have to raise it."""
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    needed = max_streams(max_sessions) + SPARE_DESCRIPTORS
    if allowed != resource.RLIM_INFINITY and allowed < needed:
        raise DescriptorLimitError(
            f"relay.sessions_most: {max_sessions} sessions need {needed} file descriptors, but RLIMIT_NOFILE "
            f"allows {allowed}"
        )
