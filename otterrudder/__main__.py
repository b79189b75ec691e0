"""python -m otterrudder: the command line, see otterrudder/cli."""

from otterrudder.cli import main

if __name__ == "__main__":
    main(prog_name="otterrudder")
