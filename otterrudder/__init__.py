"""Session-based admission and scheduling for servers behind other people's gateways."""

__version__ = "0.3.0"
