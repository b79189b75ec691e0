"""A bad client: on four connections it sends requests with a `ttl` that is out of range, thirty at once, at
full speed.

It reads what it is sent. Arguments: the server's port, `ttl` in ms, the time to run in s."""

import os
import socket
import sys
import threading
import time

CONNECTIONS = 4
AT_ONCE = 30  # on each connection
REQUEST = (
    '{"jsonrpc":"2.0","id":%d,"method":"addr-lookup","params":{"call":"%s","recv":%d,"src":9,'
    '"org":"brazos-plains","ttl":%d,"heap":30.0,"crit":0.5,"blob":"YWJj"}}\n'
)


def exchange(connection: socket.socket, first_id: int, ttl: int) -> None:
    """Sends some requests at once, and reads an answer for each."""
    lines = [
        REQUEST % (first_id + number, os.urandom(8).hex(), time.time() * 1000, ttl)
        for number in range(AT_ONCE)
    ]
    connection.sendall("".join(lines).encode())
    answers = 0
    while answers < AT_ONCE:
        data = connection.recv(65536)
        if not data:
            raise ConnectionError("closed by the server")
        answers += data.count(b"\n")


def run(port: int, ttl: int, run_s: float) -> None:
    """Sends requests for `run_s`, and connects again whenever the server closes."""
    end = time.monotonic() + run_s
    while time.monotonic() < end:
        try:
            with socket.create_connection(("127.0.0.1", port), timeout=5) as connection:
                sent_here = 0
                while time.monotonic() < end:
                    exchange(connection, sent_here + 1, ttl)
                    sent_here += AT_ONCE
        except OSError:
            time.sleep(0.05)


if __name__ == "__main__":
    arguments = (int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3]))
    threads = [threading.Thread(target=run, args=arguments) for _ in range(CONNECTIONS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
