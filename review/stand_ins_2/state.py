"""Stand-in of the state service: PROTOCOL, "Controller nodes -> state service"."""
import asyncio
import collections
import json
import random
import time

from net import Drop, Server

KEPT_CHANGES = 10_000


class Bucket:
    def __init__(self, rate):
        self.rate, self.tokens, self.at = rate, rate, time.monotonic()

    def take(self, count):
        now = time.monotonic()
        self.tokens = min(self.rate, self.tokens + (now - self.at) * self.rate)
        self.at = now
        if self.tokens < count:
            return False
        self.tokens -= count
        return True


class StateService:
    def __init__(self, limits, record):
        self.limits, self.record = limits, record
        self.store = {}  # key -> [value, stamp, permit]
        self.rev = 0
        self.changes = collections.deque(maxlen=KEPT_CHANGES)  # (rev, event)
        self.holds = {}  # permit -> [deadline, ttl]
        self.next_permit = 1
        self.changed = asyncio.Event()
        self.slow_watch = None  # function of a node and the events of an answer: seconds by which the answer is late
        self.requests, self.written = Bucket(limits["rps"]), Bucket(limits["write_rps"])
        self.outage = False
        self.refused = set()  # nodes that get 503
        self.latency = 0.002
        self.slow_share, self.slow_s = 0.0, 0.0
        self.late_share, self.late_nodes = 0.0, None  # transactions without an answer, carried out 2 to 12 s later
        self.lost_share = 0.0  # transactions carried out at once, whose answer is lost
        self.held = {}  # node -> asyncio.Event: a cut that holds packets
        self.servers = {}
        self.counts = collections.Counter()
        self.on_commit = None
        self.is_late = None  # function of a node and a transaction: the delay after which it is carried out, unanswered

    async def start(self, nodes):
        asyncio.ensure_future(self._expire())
        for node in nodes:
            server = Server(lambda m, p, q, b, node=node: self.handle(node, m, p, q, b))
            await server.start()
            self.servers[node] = server
        return {node: server.addr for node, server in self.servers.items()}

    def hold(self, node):
        self.held[node] = asyncio.Event()

    def release(self, node):
        event = self.held.pop(node, None)
        if event:
            event.set()

    def set_outage(self, on):
        if self.outage and not on:
            for hold in self.holds.values():
                hold[0] = time.monotonic() + hold[1]
        self.outage = on

    async def _expire(self):
        while True:
            await asyncio.sleep(0.02)
            if self.outage:
                continue
            now = time.monotonic()
            for permit in [p for p, (end, _) in self.holds.items() if end < now]:
                self._end_hold(permit)

    def _end_hold(self, permit):
        del self.holds[permit]
        keys = [k for k, entry in self.store.items() if entry[2] == permit]
        if keys:
            self.rev += 1
            for key in keys:
                del self.store[key]
                self.changes.append((self.rev, {"remove": key, "stamp": self.rev}))
            self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, node, method, path, query, body):
        if node in self.held:
            await self.held[node].wait()
            result = await self._serve(node, method, path, query, body)
            return result
        result = await self._serve(node, method, path, query, body)
        if node in self.held:
            await self.held[node].wait()
        return result

    async def _serve(self, node, method, path, query, body):
        delay = self.latency * random.uniform(0.75, 1.25)
        if random.random() < self.slow_share:
            delay += self.slow_s
        await asyncio.sleep(delay)
        self.counts[path.split("/")[1]] += 1
        if self.outage or node in self.refused:
            return 503, {"error": "trouble"}
        if not self.requests.take(1):
            return 429, {"error": "rps"}
        if path == "/commit":
            return await self._commit_request(node, body)
        if path == "/watch":
            return await self._watch(node, query)
        if path == "/store":
            return self._list(query)
        if path.startswith("/store/"):
            key = path[len("/store/"):]
            entry = self.store.get(key)
            if entry is None:
                return 404, {"ledger_rev": self.rev}
            return 200, {"key": key, "value": entry[0], "stamp": entry[1], "permit": entry[2]}
        if path == "/holds":
            ttl = body["ttl_ms"] / 1000
            permit, self.next_permit = self.next_permit, self.next_permit + 1
            self.holds[permit] = [time.monotonic() + ttl + 0.05, ttl + 0.05]
            return 200, {"permit": permit}
        if path.startswith("/holds/"):
            permit = int(path.split("/")[2])
            if permit not in self.holds:
                return 404, {"error": "no such lease"}
            if method == "DELETE":
                self._end_hold(permit)
            else:
                self.holds[permit][0] = time.monotonic() + self.holds[permit][1]
            return 200, {}
        return 400, {"error": "path"}

    def _list(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        limit = min(int(query.get("limit", "1000")), 1000)
        keys = sorted(k for k in self.store if k.startswith(prefix) and k > after)
        pairs, size = [], 0
        for key in keys[:limit]:
            value, stamp, _ = self.store[key]
            size += len(json.dumps(value)) + len(key) + 40
            if size > 500 * 1024:
                break
            pairs.append({"key": key, "value": value, "stamp": stamp})
        return 200, {"pairs": pairs, "truncated": len(pairs) < len(keys), "ledger_rev": self.rev}

    async def _watch(self, node, query):
        prefix, after = query.get("prefix", ""), int(query.get("after", "0"))
        until = time.monotonic() + min(int(query.get("block_ms", "0")), 60_000) / 1000
        while True:
            if self.changes and after < self.changes[0][0] - 1:
                return 410, {"error": "too old"}
            events = [e for rev, e in self.changes if rev > after and (e.get("set") or e.get("remove")).startswith(prefix)]
            if events:
                answer = {"ledger_rev": self.rev, "events": events}
                late = self.slow_watch(node, events) if self.slow_watch else 0
                if late:
                    await asyncio.sleep(late)
                return 200, answer
            left = until - time.monotonic()
            if left <= 0 and not self.outage:
                return 200, {"ledger_rev": self.rev, "events": []}
            try:
                await asyncio.wait_for(self.changed.wait(), max(left, 0.05))
            except asyncio.TimeoutError:
                pass

    async def _commit_request(self, node, body):
        writes = body.get("writes", [])
        if len(writes) > self.limits["txn_ops"] or len(body.get("guards", [])) > 4 * self.limits["txn_ops"]:
            return 400, {"error": "too many operations"}
        for write in writes:
            if "set" in write and len(json.dumps(write["value"], separators=(",", ":"))) > self.limits["value_kb"] * 1024:
                return 400, {"error": "value too large"}
        if writes and not self.written.take(len(writes)):
            return 429, {"error": "write_rps"}
        delay = self.is_late(node, body) if self.is_late else None
        if writes and delay is not None:
            asyncio.ensure_future(self._late(node, body, delay))
            await asyncio.sleep(30)
            raise Drop()
        affected = self.late_nodes is None or node in self.late_nodes
        if writes and affected and random.random() < self.late_share:
            asyncio.ensure_future(self._late(node, body, random.uniform(2, 12)))
            await asyncio.sleep(30)
            raise Drop()
        answer = self.commit(node, body)
        if writes and affected and random.random() < self.lost_share:
            await asyncio.sleep(30)
            raise Drop()
        return answer

    async def _late(self, node, body, delay):
        await asyncio.sleep(delay)
        while self.outage:
            await asyncio.sleep(0.1)
        self.record("state", f"a transaction of {node} that got no answer is carried out now, {delay:.1f} s late:")
        self.commit(node, body)

    def commit(self, node, body):
        answer = self._commit(node, body)
        keys = [w.get("set") or "-" + w.get("remove") for w in body.get("writes", [])]
        self.record("state", f"commit of {node}: {answer[0]} {answer[1]} {keys}")
        return answer

    def _commit(self, node, body):
        writes = body.get("writes", [])
        for write in writes:
            permit = write.get("permit")
            if permit is not None and permit not in self.holds:
                return 400, {"error": "no such lease"}
        failed = [g["key"] for g in body.get("guards", []) if (self.store.get(g["key"], [0, 0])[1]) != g["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledger_rev": self.rev}
        if not writes:
            return 200, {"ledger_rev": self.rev}
        self.rev += 1
        for write in writes:
            if "set" in write:
                key = write["set"]
                self.store[key] = [write["value"], self.rev, write.get("permit")]
                self.changes.append((self.rev, {"set": key, "value": write["value"], "stamp": self.rev}))
            else:
                key = write["remove"]
                self.store.pop(key, None)
                self.changes.append((self.rev, {"remove": key, "stamp": self.rev}))
        if self.on_commit:
            self.on_commit(node, self.rev, writes)
        self._wake()
        return 200, {"ledger_rev": self.rev}
