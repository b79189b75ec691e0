"""A fixture that starts the server's process."""

from collections.abc import Iterator
from pathlib import Path

import pytest
from server_process import ServerProcess


@pytest.fixture
def server(tmp_path: Path) -> Iterator[ServerProcess]:
    with ServerProcess(tmp_path) as server:
        yield server
