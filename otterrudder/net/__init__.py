"""The real server: the decisions on sockets."""
