"""The link of one machine to the store: a TCP proxy of limited bandwidth."""
import asyncio
import time

CHUNK = 4096


class Link:
    """All connections through the link share mbps in each direction."""

    def __init__(self, mbps):
        self.bytes_per_s = mbps * 1e6 / 8
        self.free_at = {"up": 0.0, "down": 0.0}

    async def start(self, address, target):
        self.target = target
        self.server = await asyncio.start_server(self._serve, *address)

    async def _pump(self, direction, reader, writer):
        try:
            while data := await reader.read(CHUNK):
                now = time.monotonic()
                start = max(self.free_at[direction], now)
                self.free_at[direction] = start + len(data) / self.bytes_per_s
                await asyncio.sleep(self.free_at[direction] - now)
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _serve(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            return writer.close()
        await asyncio.gather(self._pump("up", reader, far_writer),
                             self._pump("down", far_reader, writer))
