"""The lab: simulates whole sites, for questions that need minutes of load and many seeds.

Each server of a site (`server`) is a real `net.core.RequestCore` with a real AdmissionController, driven in
batches as the dispatcher drives it. The CPU cores, the downstream service, the gateways and the faults are
models (`cores`, `downstream`, `gateways`, `faults`). `site_simulation` runs one simulation, and `checker`
checks the four rules from records of its own. An experiment (`plan`) is a TOML file with a site, cases,
variants, seeds and claims; `runner` simulates it and `report` writes tables and charts. Random numbers come
from numpy generators, one for each source (`streams`): the same seed gives the same simulation on every
machine, and all variants get the same arrivals and faults.

Its libraries are the extra `lab`, and nothing that `serve` uses imports it. All figures are simulated."""
