"""Model search and simulation of the fleet's protocol: its pure parts, unchanged, on a key space in simulated
time.

`model` holds a few members, the store and the requests between them; `model_events` lists the events that may
follow a state. `search` explores every order of events to a depth, or random walks from a seed, and reports
which guarantee was violated by which events. `mutants` has faulty variants of the parts, and `seeded_faults`
says where each shows; the search has to find all of them. `simulation` runs whole fleets under plans of
faults in simulated time. The modules `cell_*` do the same for fleets of cells."""
