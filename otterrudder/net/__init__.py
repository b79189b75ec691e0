"""The server on sockets: applies the admission controller's decisions to gateways, the runtime and the
records service.

`core` performs no I/O and is driven by the `dispatcher`. `runtime`, `records`, `gateway_listener` with
`gateway_connection`, and `discovery` handle the connections, each with its codec. `serve` runs all of them as
one process. docs/server.md gives an overview."""
