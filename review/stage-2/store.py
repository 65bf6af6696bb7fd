"""A stand-in of the platform's metadata store, written from PROTOCOL.md."""
import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

REASONS = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found",
           410: "Gone", 412: "Precondition Failed"}


class Store:
    def __init__(self, record):
        self.record = record
        self.revision = 10
        self.items = {}  # key: (value, revision, created, lease)
        self.leases = {}  # number: [ttl in s, end]
        self.next_lease = 100
        self.history = []  # (revision, key, item or None)
        self.compacted = 0  # the history up to this revision is gone
        self.changed = asyncio.Condition()

    async def start(self, address):
        self.server = await asyncio.start_server(self._serve, *address)
        self.sweeper = asyncio.ensure_future(self._sweep())

    async def put(self, key, value):
        """Writes as the operator; returns when it is acknowledged."""
        self._write(key, value.encode(), 0)
        await self._notify()
        return self.revision

    async def forget_history(self):
        """Drops the history and cuts the watches that wait."""
        self.revision += 1
        self.compacted = self.revision
        self.history = []
        await self._notify()

    # -- contents

    def _write(self, key, value, lease):
        self.revision += 1
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created, lease)
        self.history.append((self.revision, key, self.items[key]))

    def _remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.history.append((self.revision, key, None))

    async def _notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def _sweep(self):
        while True:
            await asyncio.sleep(0.05)
            for lease in [k for k, v in self.leases.items()
                          if v[1] <= time.monotonic()]:
                self.record(f"store: lease {lease} has run out")
                await self._end_lease(lease)

    async def _end_lease(self, lease):
        del self.leases[lease]
        for key in [k for k, v in self.items.items() if v[3] == lease]:
            self._remove(key)
        await self._notify()

    @staticmethod
    def _item(key, item):
        return {"key": key, "value": base64.b64encode(item[0]).decode(),
                "revision": item[1], "created_revision": item[2],
                "lease_id": item[3]}

    # -- calls

    async def _call(self, method, target, body):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        path = url.path
        if method == "GET" and path == "/api/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"at": self.revision}
            return 200, {**self._item(query["key"], item), "at": self.revision}
        if method == "GET" and path == "/api/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(query["prefix"])
                          and k > query.get("after", ""))
            return 200, {"items": [self._item(k, self.items[k])
                                   for k in keys[:500]],
                         "has_more": len(keys) > 500, "at": self.revision}
        if method == "GET" and path == "/api/kv-watch":
            return await self._watch(query)
        if method == "POST" and path == "/api/kv-txn":
            return await self._transact(json.loads(body))
        if method == "POST" and path == "/api/kv-lease":
            ttl = json.loads(body)["ttl_ms"]
            self.next_lease += 1
            self.leases[self.next_lease] = [ttl / 1000,
                                            time.monotonic() + ttl / 1000]
            return 200, {"lease_id": self.next_lease, "ttl_ms": ttl}
        number = int(path.rsplit("/", 1)[1])
        if number not in self.leases:
            return 404, {}
        if method == "POST" and path.startswith("/api/kv-keep/"):
            lease = self.leases[number]
            lease[1] = time.monotonic() + lease[0]
            return 200, {"ttl_ms": int(lease[0] * 1000)}
        if method == "DELETE" and path.startswith("/api/kv-lease-end/"):
            await self._end_lease(number)
            return 200, {}
        return 400, {}

    async def _watch(self, query):
        after, prefix = int(query["after"]), query["prefix"]
        end = time.monotonic() + int(query["wait_timeout_ms"]) / 1000
        while True:
            if after < self.compacted:
                return 410, {}
            events = [self._item(k, i) if i else
                      {"key": k, "revision": r, "deleted": True}
                      for r, k, i in self.history
                      if r > after and k.startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def _transact(self, body):
        for row in body.get("expected_revision", []):
            item = self.items.get(row["key"])
            if (item[1] if item else 0) != row["revision"]:
                return 412, {"items": []}
        for row in body.get("write", []):
            if row.get("lease_id", 0) and row["lease_id"] not in self.leases:
                return 404, {}
        for row in body.get("write", []):
            self._write(row["key"], base64.b64decode(row["value"]),
                        row.get("lease_id", 0))
        for key in body.get("remove", []):
            self._remove(key)
        await self._notify()
        return 200, {"revision": self.revision}

    # -- HTTP/1.1

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                method, target, _ = head.split("\r\n")[0].split(" ")
                length = 0
                for line in head.split("\r\n")[1:]:
                    name, _, value = line.partition(":")
                    if name.lower() == "content-length":
                        length = int(value)
                body = await reader.readexactly(length)
                status, answer = await self._call(method, target, body)
                text = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} {REASONS[status]}\r\n"
                    f"Content-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()
