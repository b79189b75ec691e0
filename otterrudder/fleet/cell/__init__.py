"""Agreement by cells: servers hold short leases from a relay, and relays vote on changes for their cells.

`messages` is the protocol between a server and a relay; `participant` decides for a server, `relay` for a
relay, `kinds` remembers which kinds of server accept which policy, `consent` lets a relay go on while the
store is away. All are pure: events with the time in them go in, effects come out. Design:
docs/design/cells.md."""
