"""What agreement by cells costs and how fast it is, from hundreds to thousands of servers.

In simulated time: `experiment` reads the file, `topology` places servers, relays and store, `simulation`
plays them as they are on an event queue, `history` checks what they did, `play` makes a run of it and
`report` shows the results. On loopback: `processes`, with servers without transactions (`hollow`)."""
