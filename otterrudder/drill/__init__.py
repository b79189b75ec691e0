"""Runs the admission controller for a simulator: frames on standard input, replies on standard output."""
