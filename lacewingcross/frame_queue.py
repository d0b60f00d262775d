"""Queues encoded frames and writes them to a stream to another process."""

import asyncio
from collections import deque

MAX_BATCH_FRAMES = 256


class FrameQueue:
    """A bounded queue of frames (encoded messages) for one stream.

    Parameters
    ----------
    max_frames : int
        Limit on queued frames. When the queue is full, the oldest frame is dropped to
        make room for a new one.
    """

    __slots__ = ("_frames", "_max_frames", "_wake")

    def __init__(self, max_frames: int) -> None:
        self._frames: deque[bytes] = deque()
        self._max_frames = max_frames
        self._wake = asyncio.Event()

    def put(self, frame: bytes) -> bool:
        """Queue a frame; return whether the oldest frame was dropped to make room."""
        full = len(self._frames) >= self._max_frames
        if full:
            self._frames.popleft()
        self._frames.append(frame)
        self._wake.set()
        return full

    def clear(self) -> None:
        """Drop all queued frames."""
        self._frames.clear()

    async def pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Write frames as they are queued, until the other side closes the stream.

        The other side sends nothing on the stream; a byte from it ends the writing too.
        """
        eof_task = asyncio.get_running_loop().create_task(reader.read(1))
        eof_task.add_done_callback(lambda _task: self._wake.set())
        try:
            while not eof_task.done():
                if not self._frames:
                    self._wake.clear()
                    await self._wake.wait()
                    continue
                count = min(len(self._frames), MAX_BATCH_FRAMES)
                batch = [self._frames.popleft() for _ in range(count)]
                writer.write(b"".join(batch))
                await writer.drain()
        finally:
            eof_task.cancel()
            await asyncio.gather(eof_task, return_exceptions=True)
