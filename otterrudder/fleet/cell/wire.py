"""The gRPC transport of a cell's messages: methods, size limits, options, and TLS if it is configured.

The methods are registered by name and carry messages encoded by `messages.py`; no code is generated."""

from typing import Any

import grpc

from otterrudder.fleet.cell.configuration import RelayRole
from otterrudder.fleet.configuration import Fleet
from otterrudder.fleet.records import MAX_TEXT_BYTES
from otterrudder.fleet.tls import channel_credentials

SERVICE = "otterrudder.fleet.Relay"
SESSION_METHOD = f"/{SERVICE}/Session"  # bidirectional stream between a server and a relay
ENDORSE_METHOD = f"/{SERVICE}/Consent"  # unary call between two relays of a cell
MESSAGE_OVERHEAD_BYTES = 16 * 1024  # maximum size of a message without the policy's text
MAX_RELAY_MESSAGE_BYTES = MAX_TEXT_BYTES + MESSAGE_OVERHEAD_BYTES
MAX_SERVER_MESSAGE_BYTES = 16 * 1024  # messages from servers carry no policy text
IDLE_CONNECTION_MS = 5000  # how long a connection without a stream is kept open
KEEPALIVE_MS = 10_000
KEEPALIVE_TIMEOUT_MS = 2000
# A connection attempt may take this long, including the TLS handshake over a long distance. In gRPC the
# setting is the minimum time between attempts; gRPC waits less after a refused connection.
CONNECT_TIMEOUT_MS = 5000
MIN_RECONNECT_BACKOFF_MS = 100
MAX_RECONNECT_BACKOFF_MS = 1000

_COMMON_OPTIONS = [
    ("grpc.keepalive_time_ms", KEEPALIVE_MS),
    ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MS),
]
SERVER_OPTIONS = [
    *_COMMON_OPTIONS,
    ("grpc.max_receive_message_length", MAX_SERVER_MESSAGE_BYTES),
    ("grpc.max_connection_idle_ms", IDLE_CONNECTION_MS),
    ("grpc.http2.min_ping_interval_without_data_ms", KEEPALIVE_MS // 2),
    ("grpc.so_reuseport", 0),  # binding an address in use has to fail instead of sharing its connections
]
CHANNEL_OPTIONS = [
    *_COMMON_OPTIONS,
    ("grpc.max_receive_message_length", MAX_RELAY_MESSAGE_BYTES),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.initial_reconnect_backoff_ms", MIN_RECONNECT_BACKOFF_MS),
    ("grpc.min_reconnect_backoff_ms", CONNECT_TIMEOUT_MS),
    ("grpc.max_reconnect_backoff_ms", MAX_RECONNECT_BACKOFF_MS),
]


def open_channel(fleet: Fleet, relay: str) -> Any:
    """Opens a channel to a relay. Both sides present a certificate if the configuration has one."""
    credentials = channel_credentials(fleet.ca, fleet.cert, fleet.key)
    if credentials is None:
        return grpc.aio.insecure_channel(relay, options=CHANNEL_OPTIONS)
    return grpc.aio.secure_channel(relay, credentials, options=CHANNEL_OPTIONS)


def make_server(fleet: Fleet, role: RelayRole, handler: Any, max_streams: int) -> Any:
    """Returns a gRPC server bound to the relay's listening address; raises OSError if binding fails."""
    server = grpc.aio.server(handlers=(handler,), options=SERVER_OPTIONS, maximum_concurrent_rpcs=max_streams)
    try:
        port = _bind(server, fleet, role)
    except RuntimeError as error:
        raise OSError(f"{role.listen}: {error}") from None
    if not port:
        raise OSError(f"{role.listen}: cannot listen on this address")
    return server


def _bind(server: Any, fleet: Fleet, role: RelayRole) -> int:
    """Binds the server to its address and returns the port, 0 if binding fails."""
    if fleet.ca and fleet.cert and fleet.key:
        credentials = grpc.ssl_server_credentials(
            [(fleet.key.read_bytes(), fleet.cert.read_bytes())],
            root_certificates=fleet.ca.read_bytes(),
            require_client_auth=True,
        )
        return int(server.add_secure_port(role.listen, credentials))
    return int(server.add_insecure_port(role.listen))
