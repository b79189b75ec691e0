"""python -m otterrudder.drill: one flushed reply for each batch until the input ends."""

import sys

from otterrudder.drill import frames
from otterrudder.drill.host import Host


def main() -> int:
    host = Host()
    try:
        for body in frames.read_batches(sys.stdin.buffer):
            sys.stdout.buffer.write(host.play(body))
            sys.stdout.buffer.flush()
    except frames.BadFrame as trouble:
        print(f"drill: malformed input: {trouble}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
