"""Admission control: decides which requests a server starts, queues, rejects or replays, and their calls.

An adapter (`otterrudder.net`, `otterrudder.drill`, the lab) creates one controller for each server process by
`factory`, passes it events and their times, and executes the commands that it returns. The package reads no
clock, does no I/O, and draws pseudo-random numbers from a seed.
"""
