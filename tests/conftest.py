"""Configures pytest to tolerate and report the known failing tests of KNOWN-RED.txt."""

from known_red import *  # noqa: F403

pytest_plugins = ["pytester"]
