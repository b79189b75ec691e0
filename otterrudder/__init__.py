"""Admission and scheduling for servers behind gateways that are not ours."""
