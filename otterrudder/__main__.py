"""`python -m otterrudder`: runs the command line, see otterrudder/cli."""

import sys

from otterrudder.net import early_sighup

if __name__ == "__main__":
    if sys.argv[1:2] in ([], ["serve"]):
        early_sighup.install_handler()
    from otterrudder.cli import main

    main(prog_name="otterrudder")
