"""Log output that never blocks the process."""

import os

from lacewingcross.logs import BoundedOutput


def test_a_stopped_reader_loses_lines_but_does_not_block():
    # Guards against a reader of the log output that stops reading. A blocking write
    # would stop the whole process and every request in it.
    reading, writing = os.pipe()
    output = BoundedOutput(writing, max_lines=100)
    line = "x" * 1000 + "\n"
    for _ in range(1000):
        output.write(line)
    assert output.dropped > 0
    text = b""
    for _ in range(100):
        text += os.read(reading, 1 << 20)
        output.flush()
        if not output.dropped and b"log-lines-dropped" in text:
            break
    assert b"event=log-lines-dropped lines=" in text
    os.close(reading)
    os.close(writing)


def test_a_closed_reader_is_tolerated():
    reading, writing = os.pipe()
    output = BoundedOutput(writing)
    os.close(reading)
    output.write("line\n")
    assert output.dropped == 1
    os.close(writing)
