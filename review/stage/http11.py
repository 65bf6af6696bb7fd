"""A small HTTP/1.1 server and client on asyncio, as much as the stand-ins need."""
import asyncio
import urllib.parse


class Request:
    def __init__(self, method, target, body):
        self.method, self.body = method, body
        parts = urllib.parse.urlsplit(target)
        self.path = parts.path
        self.query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif int(headers.get("content-length", "0")) > 0:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


async def serve(host, port, handler):
    """handler(request) is a coroutine that returns (status, body) or None for no answer at all."""

    async def connection(reader, writer):
        try:
            while True:
                start, headers, body = await read_message(reader)
                method, target, _ = start.split(" ", 2)
                answer = await handler(Request(method, target, body))
                if answer is None:
                    await asyncio.sleep(3600)
                status, text = answer
                keep = headers.get("connection", "").lower() != "close"
                writer.write((f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n"
                              f"Content-Length: {len(text)}\r\n"
                              f"Connection: {'keep-alive' if keep else 'close'}\r\n\r\n").encode() + text)
                await writer.drain()
                if not keep:
                    break
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, host, port, backlog=256)


async def call(host, port, method, path, body=b"", timeout=1.0, local_ip=None):
    """Returns the status, or None without an answer in time."""

    async def run():
        reader, writer = await asyncio.open_connection(
            host, port, local_addr=(local_ip, 0) if local_ip else None)
        try:
            writer.write((f"{method} {path} HTTP/1.1\r\nHost: {host}:{port}\r\n"
                          f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
                          "Connection: close\r\n\r\n").encode() + body)
            await writer.drain()
            start, _, text = await read_message(reader)
            return int(start.split(" ")[1]), text
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(run(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
