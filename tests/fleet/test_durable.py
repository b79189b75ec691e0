"""State files: an interrupted write leaves the old or the new content, and a state directory is used by one
process at a time."""

import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from otterrudder.durable import DirectoryInUseError, InvalidStateFileError, StateDirectory
from otterrudder.durable.state_directory import decode_state_file, encode_state_file

pytestmark = pytest.mark.exclusive

WRITER = """
import sys
from otterrudder.durable import StateDirectory
folder = StateDirectory(sys.argv[1]); folder.lock()
n = 0
while True:
    folder.write("state", bytes([n % 251]) * (1000 + n % 5000)); n += 1
    if n == 3: print("going", flush=True)
"""


@given(st.binary(max_size=200), st.data())
def test_truncated_or_changed_file_is_rejected(data: bytes, random_data: st.DataObject) -> None:
    whole = encode_state_file(data)
    assert decode_state_file(whole, "f") == data
    cut = random_data.draw(st.integers(0, len(whole) - 1))
    with pytest.raises(InvalidStateFileError):
        decode_state_file(whole[:cut], "f")
    at, bit = random_data.draw(st.integers(0, len(whole) - 1)), random_data.draw(st.integers(0, 7))
    changed = bytearray(whole)
    changed[at] ^= 1 << bit
    with pytest.raises(InvalidStateFileError):
        assert decode_state_file(bytes(changed), "f") != data


def test_killed_writer_leaves_old_or_new_content(tmp_path: Path) -> None:
    for _ in range(12):
        writer = subprocess.Popen([sys.executable, "-c", WRITER, str(tmp_path)], stdout=subprocess.PIPE)
        assert writer.stdout and writer.stdout.readline() == b"going\n"
        writer.send_signal(signal.SIGKILL)
        writer.wait()
        writer.stdout.close()
        folder = StateDirectory(tmp_path)
        folder.lock()  # the end of the process released the lock
        data = folder.read("state")
        folder.close()
        assert data and len(set(data)) == 1 and len(data) >= 1000


def test_directory_in_use_cannot_be_locked_again(tmp_path: Path) -> None:
    first, second = StateDirectory(tmp_path), StateDirectory(tmp_path)
    first.lock()
    with pytest.raises(DirectoryInUseError, match="another process uses this directory"):
        second.lock()
    first.close()
    second.lock()
    second.close()


def test_failed_write_keeps_old_content(tmp_path: Path) -> None:
    folder = StateDirectory(tmp_path)
    folder.lock()
    assert folder.read("state") is None
    folder.write("state", b"old")
    (tmp_path / "state.new").unlink(missing_ok=True)
    os.mkdir(tmp_path / "state.new")  # opening it for writing fails, like a write to a full disk
    with pytest.raises(OSError):
        folder.write("state", b"new")
    assert folder.read("state") == b"old"
    folder.close()
