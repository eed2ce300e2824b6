"""Stand-in for the worker of one machine, written to the published protocol."""
import asyncio
import json
import random
import time

from http_io import Client, Reply, serve

PRESENT = ("waiting", "running", "saving")  # the task has its image and has not exited


class Task:
    def __init__(self, lot, attempt, job):
        self.lot, self.attempt, self.job = lot, attempt, job
        self.state, self.cause, self.kept = "fetching", None, False
        self.started = None  # when it began to run
        self.timer = None


class Worker:
    def __init__(self, world, name, machine):
        self.world, self.name, self.machine = world, name, machine
        self.type = world.types[machine["rig"]]
        self.shift, self.tick, self.gavel = 1, 0, 0
        self.tasks = {}
        self.images = set()
        self.lease_from = time.monotonic()
        self.gone = self.hung = False
        self.uplink_lost = self.downlink_lost = False
        self.blocked = set()  # names of controllers that it can't reach
        self.deaf_to = set()  # names of controllers whose answers are lost
        self.change = asyncio.Event()
        self.last_token_change = 0.0
        self.recall_at = None
        self.target = random.randrange(len(world.nodes))
        self.addr = None

    async def start(self):
        self.server, port = await serve(self.handle)
        self.addr = f"127.0.0.1:{port}"
        asyncio.ensure_future(self.report_loop())
        asyncio.ensure_future(self.lease_loop())

    def stop(self):
        self.gone = True
        for t in self.tasks.values():
            self.leave(t)
        self.tasks.clear()
        self.server.close()

    # Leases and reports.

    async def lease_loop(self):
        while not self.gone:
            await asyncio.sleep(0.1)
            self.check_lease()

    def check_lease(self):
        if self.hung or self.gone or time.monotonic() - self.lease_from <= self.world.lease_s:
            return
        self.world.note("lease", f"{self.name} lease expired, {len(self.tasks)} tasks killed")
        for t in self.tasks.values():
            self.leave(t)
        self.tasks.clear()
        self.shift += 1
        self.lease_from = time.monotonic()
        self.change.set()

    def report(self):
        self.tick += 1
        lots = []
        for t in self.tasks.values():
            o = {"lot": t.lot, "try": t.attempt, "status": t.state}
            if t.cause:
                o["cause"] = t.cause
                if t.kept:
                    o["kept"] = True
            lots.append(o)
        recall = None if self.recall_at is None else max(0.0, self.recall_at - time.monotonic())
        return {"millstone": self.name, "addr": self.addr, "rig": self.machine["rig"], "yard": self.machine["yard"],
                "loaners": self.machine["loaners"], "shift": self.shift, "tick": self.tick, "gavel": self.gavel,
                "recall_s": recall, "lots": lots}

    async def report_loop(self):
        w = self.world
        await asyncio.sleep(random.uniform(0, 0.3))
        clients = {}
        while not self.gone:
            self.check_lease()
            while self.hung and not self.gone:
                await asyncio.sleep(0.05)
            node = w.nodes[self.target]
            client = clients.setdefault(self.target, Client(node.api_for_workers))
            self.change.clear()
            shift, sent = self.shift, time.monotonic()
            if self.uplink_lost:
                answer = None
            elif node.name in self.blocked:
                await asyncio.sleep(4.0)
                answer = None
            else:
                answer = await client.request("POST", "/v1/report", self.report(), 4.0)
            while self.hung and not self.gone:
                await asyncio.sleep(0.05)
            if self.gone:
                return
            if time.monotonic() - sent > 4.0:
                answer = None
            if (self.downlink_lost or node.name in self.deaf_to) and answer is not None:
                await asyncio.sleep(max(0.0, sent + 4.0 - time.monotonic()))
                answer = None
            self.check_lease()
            if answer and answer[0] == 200:
                self.take_response(answer[2], shift, sent)
                pause = w.report_s * random.uniform(0.75, 1.25)
                try:
                    await asyncio.wait_for(self.change.wait(), pause)
                    await asyncio.sleep(max(0.0, sent + 0.5 - time.monotonic()))
                except asyncio.TimeoutError:
                    pass
                continue
            if answer and answer[0] == 421:
                clerk = (answer[2] or {}).get("clerk")
                index = next((i for i, n in enumerate(w.nodes) if n.name == clerk), None)
                client.close()
                if index is not None and index != self.target:
                    self.target = index
                    await asyncio.sleep(max(random.uniform(0, 0.5), sent + 0.5 - time.monotonic()))
                    continue
            client.close()
            self.target = (self.target + 1) % len(w.nodes)
            await asyncio.sleep(1.0)

    def see_token(self, gavel):
        if gavel > self.gavel:
            self.gavel = gavel
            if time.monotonic() - self.last_token_change > self.world.lease_s / 2:
                self.last_token_change = time.monotonic()
                self.change.set()

    def take_response(self, body, shift, sent):
        gavel = (body or {}).get("gavel", 0)
        if gavel < self.gavel or shift != self.shift or not gavel:
            return
        self.see_token(gavel)
        self.lease_from = sent
        self.execute(body.get("orders", []))

    async def handle(self, method, target, body):
        while self.hung and not self.gone:
            await asyncio.sleep(0.05)
        if self.gone or self.downlink_lost:
            return Reply(503, drop=True)
        self.check_lease()
        if target == "/status":
            return Reply(200, self.report())
        if target != "/commands":
            return Reply(404)
        o = json.loads(body)
        if o.get("gavel") is None or o.get("shift") is None:
            return Reply(400)
        if o["gavel"] < self.gavel or o["shift"] != self.shift:
            return Reply(409, self.report())
        self.see_token(o["gavel"])
        self.execute(o["orders"])
        return Reply(200, self.report())

    # Commands.

    def execute(self, orders):
        for o in orders:
            t = self.tasks.get(o["lot"])
            if o["order"] == "launch":
                self.launch(o["lot"], o["try"], t)
            elif t is None or t.attempt != o["try"]:
                continue
            elif o["order"] == "stop":
                self.stop_task(t, o.get("wind_down_s", 0))
            elif o["order"] == "clear" and t.state == "exited":
                del self.tasks[t.lot]
                self.change.set()

    def launch(self, lot, attempt, present):
        if present is not None and present.attempt == attempt:
            return
        job = self.world.jobs.get(lot.rsplit("/", 1)[0])
        self.world.note("launch", f"{lot} try={attempt} on {self.name}")
        if present is not None:
            self.world.note("launch", f"{lot} busy on {self.name}")
            return  # reported as refused by a sound worker under the same key; the earlier attempt stays
        t = Task(lot, attempt, job)
        self.tasks[lot] = t
        self.change.set()
        if job is None or int(lot.rsplit("/", 1)[1]) >= job.spec["lots"]:
            return self.exit(t, "unknown")
        if not self.fits(job):
            return self.exit(t, "no_room")
        asyncio.ensure_future(self.fetch(t))

    def fits(self, job):
        for field in ("cores", "accelerators", "mem_gb"):
            used = sum(x.job.spec[field] for x in self.tasks.values() if x.job and x.state != "exited")
            if used > self.type[field] + 1e-6:
                return False
        return True

    async def fetch(self, t):
        if t.job.spec["bundle"] not in self.images:
            await asyncio.sleep(t.job.spec["size_gb"] / self.type["fetch_gb_per_s"])
        while self.hung:
            await asyncio.sleep(0.05)
        if self.tasks.get(t.lot) is not t or t.state != "fetching":
            return
        self.images.add(t.job.spec["bundle"])
        if t.job.results.get(t.lot):
            return self.exit(t, "done")
        self.world.task_starts(self, t)
        self.change.set()
        if t.job.spec["sale_kind"] == "ensemble":
            t.state = "waiting"
            self.world.gang_waits(self, t)
        else:
            self.run(t)

    def run(self, t):
        t.state, t.started = "running", time.monotonic()
        self.change.set()
        self.world.note("run", f"{t.lot} try={t.attempt} runs on {self.name}")
        if t.job.spec["sale_kind"] == "standing":
            return
        if t.job.spec["sale_kind"] == "array":
            t.timer = asyncio.ensure_future(self.finish_later(t))

    async def finish_later(self, t):
        left = t.job.run_s
        while left > 0:
            step = min(left, 0.1)
            await asyncio.sleep(step)
            if not self.hung:
                left -= step
        if self.tasks.get(t.lot) is t and t.state == "running":
            if not t.job.fails:
                t.job.results[t.lot] = True
            self.exit(t, "error" if t.job.fails else "done")

    def stop_task(self, t, grace_s):
        if t.state == "exited":
            return
        spec = t.job.spec if t.job else {}
        can_save = t.state == "running" and spec.get("tally_s", 0) > 0 and grace_s >= spec.get("bank_s", 0)
        if spec.get("sale_kind") == "ensemble" and t.state == "running":
            self.world.gang_broken(t)
        if can_save:
            t.state = "saving"
            self.change.set()
            asyncio.ensure_future(self.save(t))
        elif t.state == "saving" and grace_s > 0:
            return
        else:
            self.exit(t, "stopped")

    async def save(self, t):
        await asyncio.sleep(t.job.spec["bank_s"])
        if self.tasks.get(t.lot) is t and t.state == "saving":
            t.kept = True
            self.exit(t, "stopped")

    def exit(self, t, cause):
        self.leave(t)
        t.state, t.cause = "exited", cause
        self.world.note("exit", f"{t.lot} try={t.attempt} on {self.name} cause={cause}")
        self.change.set()

    def leave(self, t):
        """The task is not on the machine any more."""
        if t.timer and t.timer is not asyncio.current_task():
            t.timer.cancel()
        if t.state in ("running", "waiting", "saving") and t.job and t.job.spec["sale_kind"] == "ensemble":
            self.world.gang_member_left(t)
        t.state = "exited"
