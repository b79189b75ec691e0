"""One member of the fleet, as a pure state machine: results and times go in, effects come out.

`member` has the `Member`, made of `parts`, a module for each: `registration` and its lease, `voting`,
`policy_state` with the `documents` that may come into force, `local_state` in the state directory,
`store_trust`, the `read_schedule` and the `status_reporter`. Lab, model search and server run this very code.

The rules that it keeps, and why they suffice (docs/design/fleet.md has the argument whole):

- It votes once on a change, in a commit that compares the change's creation and its own registration, so
  neither a vote on an earlier change nor one of an earlier process ever counts.
- Before it accepts a change, the prepared vote is on disk. A member with a prepared vote admits for
  `bound_ms` from the *sending* of the last read that showed the change still open, and then suspends
  admission until it knows the outcome.
- `wait`: no change is committed without this name's vote, so a member without a prepared vote serves on, cut
  off or not.
- `leave-out`: a change may be committed once this name's lease has lapsed in the store, so it suspends
  admission when the lease has lapsed by its own clock, which counts from the sending and is never later.
- A process admits nothing until it has read the store after it registered (or, under `wait` and where its
  file says so, until it has found in its state directory that it has prepared no vote).

Whoever asks `admission_status(now)` at the moment of admission gets the status of that moment, so a process
that was frozen finds out before it admits anything. Effects are level-triggered: after each result, lost ones
too, it reads again and decides anew from what it sees; nothing is ever guessed from a missing answer."""

from otterrudder.fleet.member.member import Member
from otterrudder.fleet.member.read_schedule import POLL_SHARE
from otterrudder.fleet.member.voting import VOTE_PRIORITY_MS

__all__ = ["POLL_SHARE", "VOTE_PRIORITY_MS", "Member"]
