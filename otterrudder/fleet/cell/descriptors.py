"""How many file descriptors a relay needs, checked before it starts."""

import resource

SPARE_STREAMS = 64  # beyond the sessions: of servers that are refused as it is full, and of relays
SPARE_DESCRIPTORS = 64  # beyond one a stream: the store, the other relays, logs


class DescriptorLimitError(Exception):
    """The process may not open as many files as its sessions need."""


def max_streams(max_sessions: int) -> int:
    """The streams that a relay with so many sessions accepts."""
    return max_sessions + SPARE_STREAMS


def check_descriptors(max_sessions: int) -> None:
    """DescriptorLimitError: the limit is too low. To raise it is up to the operators."""
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    needed = max_streams(max_sessions) + SPARE_DESCRIPTORS
    if allowed != resource.RLIM_INFINITY and allowed < needed:
        raise DescriptorLimitError(
            f"relay.sessions_most: {max_sessions} sessions need {needed} descriptors, and RLIMIT_NOFILE "
            f"allows {allowed}"
        )
