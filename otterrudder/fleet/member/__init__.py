"""One member of the fleet."""

from otterrudder.fleet.member.member import POLL_SHARE, VOTE_FIRST_MS, Member

__all__ = ["POLL_SHARE", "VOTE_FIRST_MS", "Member"]
