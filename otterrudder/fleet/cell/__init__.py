"""Coordination of policy changes in cells: servers hold short leases from a relay, and relays vote on changes
for their cells.

`messages` is the protocol between servers and relays. `participant` makes a server's decisions, with its
lease (`server_lease`), the selection of a relay (`relay_selector`) and the validation of policy texts
(`text_validation`). `relay` makes a relay's decisions, with its `sessions`, the validation of a change by
the servers (`cell_validation`, `validation_poll`) and the endorsement of the leader's lease while the store
is unreachable (`endorsement`). These modules are pure: they receive events with the current time and return
effects, without I/O or a clock. The actors `agent` (in a server) and `service` (in a relay) run them. The
design is described in docs/design/cells.md."""
