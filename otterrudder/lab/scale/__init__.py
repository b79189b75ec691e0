"""What agreement by cells costs and how fast it is, from hundreds to thousands of servers, in simulated time
and on processes.

Simulated: `experiment` reads the file, `topology` places servers, relays and store, `simulation` plays them
as they are on an event queue, `ledger` checks what they did, `play` makes a run of it and `report` shows the
results. On processes: `hollow` and the package `processes`."""
