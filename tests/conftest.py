"""What pytest does here beyond its usual: it passes over known red tests, and prints them."""

from known_red import *  # noqa: F403

pytest_plugins = ["pytester"]
