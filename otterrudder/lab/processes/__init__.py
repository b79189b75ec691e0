"""Clusters of server processes on loopback, with their fake peers and injected faults."""
