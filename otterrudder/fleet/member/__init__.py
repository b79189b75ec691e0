"""One member of the fleet, as a pure state machine: it takes results and times and returns effects.

`member` defines `Member`, which combines the parts listed in `parts`, one module for each: `registration`
with the lease, `voting`, `policy_state` with the `documents` that may come into force, `local_state` for the
state directory, `store_trust`, `read_schedule` and `status_reporter`. The lab, the model search and the
server all run this code.

A member follows these rules (docs/design/fleet.md has the complete safety argument):

- It votes once on a change, in a commit that compares the creation revisions of the change and of its own
  registration, so votes on an earlier change and votes of an earlier process never count.
- It saves the prepared vote to disk before it accepts a change. A member with a prepared vote admits requests
  for `bound_ms` after it *sent* the last read that showed the change still open. It then suspends admission
  until it knows the outcome.
- With absent = "wait", no change is committed without this member's vote, so a member without a prepared vote
  keeps serving even if it can't reach the store.
- With absent = "leave-out", a change may be committed once this member's lease has expired in the store. The
  member therefore suspends admission when the lease expires by its own clock. It counts the lease from when
  it sent the request, so the lease never expires later by its clock than in the store.
- A process admits no requests until it has read the store after it registered. With absent = "wait" and start
  = "folder", it may instead find in its state directory that it has prepared no vote.

`admission_status(now)` evaluates the status at the moment of an admission, so a process that was frozen
notices an expired lease or bound before it admits anything. Effects are level-triggered: after each result,
including a missing one, the member reads the store again and decides from what it reads. It infers nothing
from a missing answer."""

from otterrudder.fleet.member.member import Member
from otterrudder.fleet.member.read_schedule import POLL_SHARE
from otterrudder.fleet.member.voting import VOTE_PRIORITY_MS

__all__ = ["POLL_SHARE", "VOTE_PRIORITY_MS", "Member"]
