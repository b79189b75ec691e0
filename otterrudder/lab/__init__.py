"""The lab: whole sites in simulated time, to show what takes minutes of load and many seeds.

Each server of a site is a real `net.core.Core` with a real AdmissionController, driven in batches as the
dispatcher drives it. Cores, the tier below, gateways and faults are models (`cores`, `downstream`,
`gateways`, `faults`); `checker` keeps a ledger of its own on the four rules. An experiment (`plan`) is a TOML
file: a site, cases, variants, seeds, claims; `runner` plays it and `report` writes tables and charts. Chance
comes from numpy generators, a stream for each source (`streams`), so that the same seed gives the same day on
every machine and variants meet the same arrivals and faults.

Its libraries are the extra `lab`; nothing that `serve` uses imports it. All figures are simulated."""
