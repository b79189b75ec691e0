"""The processes part of the scale experiment measures the cost of hollow servers.

Hollow servers use the real protocols on loopback and are measured from outside: `tcp` reads the traffic of
their connections and `usage` the CPU time and memory of their processes. `children` starts and stops
processes, `bench` runs a fake store with hollow servers, `measure` takes the measurements, and `rows` holds
them. `laws` fits growth laws to the measurements, `report` writes the results, and `command` runs all of
it."""
