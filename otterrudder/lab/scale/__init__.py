"""Measures the cost and the speed of agreement in cells, for hundreds to thousands of servers.

In simulated time, `experiment` reads the experiment file, `topology` places servers, relays and the store,
`simulation` runs the production participants and relays on an event queue, `history_checker` checks their
actions, `play` runs the cases and computes figures, and `report` writes the results. On loopback, `processes`
runs real relays with servers that take no requests (`hollow`)."""
