"""Agreement by cells: servers hold short leases from a relay, and relays vote on changes for their cells.

`messages` is the protocol between a server and a relay. `participant` decides for a server, with its lease
(`server_lease`), the choice of a relay (`relay_selector`) and the validation of texts (`text_validation`).
`relay` decides for a relay, with its `sessions`, the validation of a change by the servers
(`cell_validation`, `validation_poll`) and the endorsement of the leader's lease while the store is
unreachable (`endorsement`). All are pure: events with the time in them go in, effects come out. `agent` and
`service` are the actors that run them. Design: docs/design/cells.md."""
