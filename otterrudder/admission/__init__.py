"""Admission control: which requests a server starts, queues, rejects or replays, and its downstream calls.

An adapter (`otterrudder.net`, `otterrudder.drill`, the lab) makes one controller for each server process by
`factory`, passes it events with the time in them, and carries out the commands that it returns. There is no
clock, no chance and no I/O inside.
"""
