"""Stand-ins for the state service and the cloud, written to the published protocol."""
import asyncio
import json
import time
from urllib.parse import parse_qs, urlsplit

from http_io import Reply, serve


class StateService:
    """The key-value store. Each controller has an address of its own, so that a single one can be refused."""

    def __init__(self, world, value_kb=32, txn_ops=24, latency_s=0.004):
        self.world = world
        self.value_bytes, self.txn_ops, self.latency_s = int(value_kb * 1024), txn_ops, latency_s
        self.items = {}  # key: (value, version, lease)
        self.leases = {}  # id: [ttl in seconds, end]
        self.changes = []  # (revision, key, value or None)
        self.revision, self.next_lease = 0, 1
        self.outage = False
        self.refused = set()  # controllers whose requests are answered 503
        self.held = set()  # controllers whose requests arrive once the cut ends
        self.ports, self.servers = {}, []
        self.changed = asyncio.Event()
        self.rps = self.write_rps = None  # limits; None: not enforced
        self.tokens = {}  # limit: [tokens, time of the last refill]
        self.refused_for_rate = 0
        self.on_txn = None  # hook: async (controller, txn) -> "late" | "lost" | None

    async def start(self, controllers):
        for c in controllers:
            server, port = await serve(lambda m, t, b, c=c: self.handle(c, m, t, b))
            self.servers.append(server)
            self.ports[c] = port
        asyncio.ensure_future(self.expire_loop())

    def set_outage(self, on):
        self.outage = on
        if not on:  # every lease has its full time again
            for lease in self.leases.values():
                lease[1] = time.monotonic() + lease[0]

    async def expire_loop(self):
        while True:
            await asyncio.sleep(0.02)
            if not self.outage:
                now = time.monotonic()
                for lease in [i for i, v in self.leases.items() if v[1] <= now]:
                    self.end_lease(lease)

    def end_lease(self, lease):
        del self.leases[lease]
        keys = [k for k, v in self.items.items() if v[2] == lease]
        if keys:
            self.revision += 1
            for k in keys:
                del self.items[k]
                self.record(k, None)

    def record(self, key, value):
        self.changes.append((self.revision, key, value))
        del self.changes[:-10000]
        self.changed.set()
        self.changed = asyncio.Event()

    def over_rate(self, name, rate, amount):
        """Token bucket with a burst of one second's worth."""
        if rate is None:
            return False
        now = time.monotonic()
        tokens, at = self.tokens.get(name, (rate, now))
        tokens = min(rate, tokens + (now - at) * rate)
        over = tokens < amount
        self.tokens[name] = (tokens if over else tokens - amount, now)
        self.refused_for_rate += over
        return over

    def refuses(self, controller):
        return self.outage or controller in self.refused

    async def handle(self, controller, method, target, body):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        path = url.path
        while controller in self.held:
            await asyncio.sleep(0.05)
        if self.over_rate("requests", self.rps, 1):
            return Reply(429)
        if path == "/follow":
            return await self.follow(controller, query)
        await asyncio.sleep(self.latency_s)
        if self.refuses(controller):
            return Reply(503)
        if path == "/multi" and method == "POST":
            txn = json.loads(body)
            if self.over_rate("changes", self.write_rps, len(txn.get("then", []))):
                return Reply(429)
            verdict = await self.on_txn(controller, txn) if self.on_txn else None
            if verdict == "drop":
                return Reply(503, drop=True)
            reply = self.apply(txn)
            if verdict == "lost":
                await asyncio.sleep(1.5)
                return Reply(503, drop=True)
            return reply
        if path == "/leases" and method == "POST":
            ttl = json.loads(body)["ttl_ms"] / 1000
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = [ttl, time.monotonic() + ttl]
            return Reply(200, {"permit": lease})
        if path.startswith("/leases/"):
            lease = int(path.split("/")[2])
            if lease not in self.leases:
                return Reply(404)
            if method == "DELETE":
                self.end_lease(lease)
            else:
                self.leases[lease][1] = time.monotonic() + self.leases[lease][0]
            return Reply(200)
        if path == "/keys":
            return self.list(query)
        if path.startswith("/keys/"):
            key = path[6:]
            if key not in self.items:
                return Reply(404, {"ledger": self.revision})
            return Reply(200, self.item(key))
        return Reply(400)

    def item(self, key):
        value, version, lease = self.items[key]
        out = {"path": key, "value": value, "stamp": version}
        if lease:
            out["permit"] = lease
        return out

    def list(self, query):
        prefix, after = query.get("starts", ""), query.get("from", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        pairs, size = [], 0
        most = min(1000, int(query.get("most", 1000)))
        for k in keys:
            item = self.item(k)
            size += len(json.dumps(item))
            if len(pairs) == most or (pairs and size > 512 * 1024):
                break
            pairs.append(item)
        return Reply(200, {"pairs": pairs, "has_next": len(pairs) < len(keys), "ledger": self.revision})

    def apply(self, txn):
        when, then = txn.get("when", []), txn.get("then", [])
        if len(then) > self.txn_ops or len(when) > 4 * self.txn_ops:
            return Reply(400, {"error": "too many"})
        for change in then:
            if "write" in change and len(json.dumps(change["value"], separators=(",", ":"))) > self.value_bytes:
                return Reply(400, {"error": "too large"})
            if change.get("permit") and change["permit"] not in self.leases:
                return Reply(400, {"error": "no such lease"})
        failed = [c["path"] for c in when if self.version(c["path"]) != c["stamp"]]
        if failed:
            return Reply(409, {"failed": failed, "ledger": self.revision})
        self.revision += 1
        for change in then:
            if "drop" in change:
                if self.items.pop(change["drop"], None):
                    self.record(change["drop"], None)
            else:
                self.items[change["write"]] = (change["value"], self.revision, change.get("permit") or 0)
                self.record(change["write"], change["value"])
        return Reply(200, {"ledger": self.revision})

    def version(self, key):
        return self.items[key][1] if key in self.items else 0

    def leader(self):
        return self.items["leader"][0]["name"] if "leader" in self.items else None

    async def follow(self, controller, query):
        prefix, after = query.get("starts", ""), int(query["from"])
        end = time.monotonic() + int(query.get("block_ms", 0)) / 1000
        while True:
            if not self.refuses(controller):
                if self.changes and after < self.changes[0][0] - 1:
                    return Reply(410)
                events = [{"drop": k, "stamp": r} if v is None else {"write": k, "value": v, "stamp": r}
                          for r, k, v in self.changes if r > after and k.startswith(prefix)]
                left = end - time.monotonic()
                if events or left <= 0:
                    return Reply(200, {"ledger": self.revision, "events": events})
            else:
                left = 0.1
            try:
                await asyncio.wait_for(self.changed.wait(), min(max(left, 0.01), 0.1))
            except asyncio.TimeoutError:
                pass


class Cloud:
    """Rents machines. `capacity`: (type, zone, spot) -> how many machines there are at most."""

    def __init__(self, world, types, capacity, list_lag_s=5.0, boot_s=1.5, latency_s=0.02):
        self.world, self.types, self.capacity = world, types, capacity
        self.list_lag_s, self.boot_s, self.latency_s = list_lag_s, boot_s, latency_s
        self.outage = False
        self.machines = {}  # name -> dict
        self.hired = {}  # request -> names
        self.history = []  # (time, list)
        self.next_number = 1
        self.ports, self.servers = {}, []
        self.returns = []  # (time, controller, names, tasks that ran there)
        self.on_refused_return = None  # hook: called when a return is refused

    async def start(self, controllers):
        for c in controllers:
            server, port = await serve(lambda m, t, b, c=c: self.handle(c, m, t, b))
            self.servers.append(server)
            self.ports[c] = port
        self.snapshot()
        asyncio.ensure_future(self.snapshot_loop())

    def new_machine(self, rig, zone, spot, age_s=0.0, boot_s=None):
        name = f"vm-{self.next_number:06d}"
        self.next_number += 1
        now = time.monotonic()
        self.machines[name] = {"rig": rig, "yard": zone, "loaners": spot, "requested": now - age_s, "status": "booting",
                               "addr": "127.0.0.1:9"}
        asyncio.ensure_future(self.boot(name, self.boot_s if boot_s is None else boot_s))
        return name

    async def boot(self, name, seconds):
        await asyncio.sleep(seconds)
        if name in self.machines:
            worker = await self.world.start_worker(name, self.machines[name])
            if name in self.machines:
                self.machines[name]["addr"] = worker.addr
                self.machines[name]["status"] = "running"

    def snapshot(self):
        now = time.monotonic()
        self.history.append((now, [
            {"name_id": n, "addr": m["addr"], "rig": m["rig"], "yard": m["yard"], "loaners": m["loaners"], "status": m["status"],
             "age_s": round(now - m["requested"], 1)} for n, m in sorted(self.machines.items())]))
        while len(self.history) > 1 and self.history[1][0] <= now - self.list_lag_s:
            self.history.pop(0)

    async def snapshot_loop(self):
        while True:
            await asyncio.sleep(0.5)
            self.snapshot()

    async def handle(self, controller, method, target, body):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        await asyncio.sleep(self.latency_s)
        if url.path.startswith("/machines") and method == "POST":
            self.world.note("cloud", f"from {controller}: POST {url.path} {body.decode()}" + (" -> 503" if self.outage else ""))
        if self.outage:
            if url.path == "/machines/return" and self.on_refused_return:
                self.on_refused_return()
            return Reply(503, {"error": "trouble"})
        if url.path == "/machine_types":
            return Reply(200, {"rigs": self.types})
        if url.path == "/machines/return":
            names = json.loads(body)["millstones"]
            running = [t.lot for w, t in self.world.present() if w.name in names and t.state == "running"]
            self.returns.append((time.monotonic(), controller, names, running))
            for n in names:
                if self.machines.pop(n, None) is not None:
                    self.world.machine_gone(n, f"returned by {controller}")
            return Reply(200)
        if url.path == "/machines" and method == "POST":
            return self.hire(json.loads(body))
        if url.path == "/machines":
            after, most = query.get("from", ""), min(500, int(query.get("most", 500)))
            listed = [m for m in self.history[0][1] if m["name_id"] > after]
            return Reply(200, {"millstones": listed[:most], "has_next": len(listed) > most})
        return Reply(400)

    def hire(self, r):
        if r["hire"] in self.hired:
            return Reply(200, {"millstones": self.hired[r["hire"]]})
        key = (r["rig"], r["yard"], r["loaners"])
        used = sum((m["rig"], m["yard"], m["loaners"]) == key for m in self.machines.values())
        count = min(r["count"], self.capacity.get(key, 0) - used)
        if count <= 0:
            return Reply(503, {"error": "no capacity"})
        names = [self.new_machine(*key) for _ in range(count)]
        self.hired[r["hire"]] = names
        return Reply(200, {"millstones": names})
