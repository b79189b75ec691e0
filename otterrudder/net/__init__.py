"""The server on sockets: the admission controller's decisions for real gateways, runtime and records service.

`core` is pure and driven by the `dispatcher`; `runtime`, `records`, `gateway_listener` with
`gateway_connection`, and `discovery` are the edges, each with its codec; `serve` runs them as one process.
docs/server.md has the whole picture."""
