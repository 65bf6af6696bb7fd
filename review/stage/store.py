"""The platform's metadata store, from PROTOCOL.md: items, ranges, watches, transactions and leases."""
import asyncio
import base64
import bisect
import json
import time

import http11

PAGE_ITEMS = 500


class Store:
    def __init__(self):
        self.items = {}  # key -> dict(value, revision, created_revision, lease_id)
        self.leases = {}  # id -> [ttl_ms, end]
        self.history = []  # (revision, event)
        self.revision = 10
        self.next_lease = 1000
        self.changed = asyncio.Event()

    async def start(self, host, port):
        self.server = await http11.serve(host, port, lambda request: self.handle(request))
        self.expiry = asyncio.ensure_future(self.expire())

    # What the operator does.
    def put(self, key, value):
        self.write(key, value.encode(), 0)
        return self.revision

    def write(self, key, value, lease):
        self.revision += 1
        created = self.items.get(key, {}).get("created_revision", self.revision)
        self.items[key] = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                           "created_revision": created, "lease_id": lease}
        self.note(dict(self.items[key]))

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.note({"key": key, "revision": self.revision, "deleted": True})

    def note(self, event):
        self.history.append((event["revision"], event))
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            for lease in [each for each, (_, end) in self.leases.items() if end <= time.monotonic()]:
                self.end_lease(lease)

    def end_lease(self, lease):
        del self.leases[lease]
        for key in [k for k, item in self.items.items() if item["lease_id"] == lease]:
            self.remove(key)

    async def handle(self, request):
        body = json.loads(request.body) if request.body else {}
        status, answer = await self.answer(request, body)
        return status, json.dumps(answer).encode()

    async def answer(self, request, body):
        path, query = request.path, request.query
        if path == "/api/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "at": self.revision}) if item else (404, {})
        if path == "/api/kv-range":
            return 200, self.range(query["prefix"], query.get("after", ""))
        if path == "/api/kv-watch":
            return await self.watch(query["prefix"], int(query["after"]), int(query["wait_timeout_ms"]))
        if path == "/api/kv-txn":
            return self.transact(body)
        if path == "/api/kv-lease":
            self.next_lease += 1
            self.leases[self.next_lease] = [body["ttl_ms"], time.monotonic() + body["ttl_ms"] / 1000]
            return 200, {"lease_id": self.next_lease, "ttl_ms": body["ttl_ms"]}
        lease = int(path.rsplit("/", 1)[1]) if path.startswith(("/api/kv-keep/", "/api/kv-lease-end/")) else None
        if lease is None:
            return 400, {}
        if lease not in self.leases:
            return 404, {}
        if path.startswith("/api/kv-keep/"):
            ttl = self.leases[lease][0]
            self.leases[lease][1] = time.monotonic() + ttl / 1000
            return 200, {"ttl_ms": ttl}
        self.end_lease(lease)
        return 200, {}

    def range(self, prefix, after):
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        return {"items": [self.items[k] for k in keys[:PAGE_ITEMS]], "has_more": len(keys) > PAGE_ITEMS,
                "at": self.revision}

    async def watch(self, prefix, after, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            changed = self.changed
            start = bisect.bisect_right(self.history, after, key=lambda each: each[0])
            events = [event for _, event in self.history[start:] if event["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        for row in body.get("expected_revision", []):
            if self.items.get(row["key"], {}).get("revision", 0) != row["revision"]:
                known = [self.items[r["key"]] for r in body["expected_revision"] if r["key"] in self.items]
                return 412, {"items": known}
        for row in body.get("write", []):
            if row["key"].startswith(("op/", "servers/")):
                return 403, {}
            if row.get("lease_id", 0) and row["lease_id"] not in self.leases:
                return 404, {}
        for row in body.get("write", []):
            self.write(row["key"], base64.b64decode(row["value"]), row.get("lease_id", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}
