"""A small deployment on loopback: real controllers, stand-ins for everything else, and a check of the rules."""
import asyncio
import os
import random
import signal
import socket
import subprocess
import tempfile
import time

from http_io import Client
from platform_services import Cloud, StateService
from workers import PRESENT, Worker

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))


def free_ports(n):
    sockets = [socket.socket() for _ in range(n)]
    for s in sockets:
        s.bind(("127.0.0.1", 0))
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


class Node:
    def __init__(self, name, zone, api, peer):
        self.name, self.zone, self.api, self.peer = name, zone, api, peer
        self.api_for_workers = api
        self.process = None
        self.healthy, self.probes = True, []


class Job:
    def __init__(self, spec, run_s, fails=False):
        self.spec, self.run_s, self.fails = spec, run_s, fails
        self.results = {}
        self.done_at = None
        self.accepted_at = self.cancel_asked_at = self.cancelled_at = self.told_done_at = None
        self.last_answer_at = None


class World:
    def __init__(self, record, zones=("a",), teams=(), workers=None, state=None, cloud=None, resources=None, types=(),
                 capacity=None, boot_s=1.5, list_lag_s=5.0, controllers=3, objectives=()):
        self.record = open(record, "w", encoding="utf-8")
        self.t0 = time.monotonic()
        self.zones, self.teams = list(zones), list(teams)
        self.params = {"report_s": 2.5, "lease_s": 18.0, "gang_wait_s": 30.0, "gang_peer_s": 5.0, "cancel_s": 38.0,
                       **(workers or {})}
        self.report_s, self.lease_s, self.cancel_s = (self.params[k] for k in ("report_s", "lease_s", "cancel_s"))
        self.state_limits = {"rps": 120.0, "write_rps": 40.0, "value_kb": 32.0, "txn_ops": 24, **(state or {})}
        self.cloud_limits = {"rps": 8.0, "list_lag_s": list_lag_s, **(cloud or {})}
        self.resources = {"cpu": 0.12, "mem_mb": 56.0, "max_sockets": 1500, **(resources or {})}
        self.objectives = list(objectives)
        self.types = {t["label"]: t for t in types}
        self.state = StateService(self, self.state_limits["value_kb"], self.state_limits["txn_ops"])
        self.cloud = Cloud(self, list(types), dict(capacity or {}), list_lag_s, boot_s)
        self.jobs, self.workers, self.violations = {}, {}, []
        self.starts = []  # (time, lot, attempt, machine)
        self.gangs = {}
        self.dir = tempfile.TemporaryDirectory()
        ports = free_ports(2 * controllers)
        self.nodes = [Node(f"millstone-{i}", self.zones[i % len(self.zones)], ports[2 * i], ports[2 * i + 1])
                      for i in range(controllers)]

    # The record and the rules.

    def now(self):
        return time.monotonic() - self.t0

    def note(self, kind, text):
        self.record.write(f"{self.now():8.3f} {kind:8} {text}\n")
        self.record.flush()

    def violate(self, rule, text):
        self.violations.append((rule, text))
        self.note("BROKEN", f"{rule}: {text}")

    def present(self):
        now = time.monotonic()
        for w in self.workers.values():
            if w.hung and now - w.lease_from > self.lease_s:
                continue  # it may go on within its lease only: its tasks have ended
            for t in w.tasks.values():
                if t.state in PRESENT:
                    yield w, t

    def task_starts(self, worker, task):
        job = task.job
        self.starts.append((self.now(), task.lot, task.attempt, worker.name))
        self.note("start", f"{task.lot} try={task.attempt} on {worker.name} in {worker.machine['yard']}")
        others = [(w, t) for w, t in self.present() if t is not task]
        for w, t in others:
            if t.lot == task.lot:
                self.violate("ran_twice", f"{task.lot} starts on {worker.name} while it is on {w.name}")
        team = next(t for t in self.teams if t["name"] == job.spec["consignor"])
        for field, limit in (("cores", "cpus_max"), ("accelerators", "gpus_max")):
            used = job.spec[field] + sum(t.job.spec[field] for _, t in others if t.job.spec["consignor"] == team["name"])
            if team.get(limit, 0) > 0 and used > team[limit] + 1e-6:
                self.violate("quota", f"{team['name']} uses {used} of {team[limit]} {field} as {task.lot} starts")
        m = worker.machine
        siblings = [w.machine["yard"] for w, t in others if t.job is job]
        wrong = job.spec.get("rigs") and m["rig"] not in job.spec["rigs"]
        wrong = wrong or (job.spec.get("yard") and job.spec["yard"] != m["yard"])
        wrong = wrong or (m["loaners"] and not job.spec["loaners"])
        wrong = wrong or (job.spec["same_place"] and any(z != m["yard"] for z in siblings))
        wrong = wrong or (job.spec["scatter"] and siblings.count(m["yard"]) + 1 > (job.spec["lots"] + 1) // 2)
        if wrong:
            self.violate("wrong_place", f"{task.lot} on {worker.name}")
        for d in job.spec.get("awaits") or []:
            if self.jobs[d].done_at is None:
                self.violate("too_early", f"{task.lot} starts before {d} is done")
        if job.cancelled_at is not None and time.monotonic() - job.cancelled_at > self.cancel_s:
            self.violate("ran_cancelled", f"{task.lot} starts on {worker.name}")

    async def check_loop(self):
        reported = set()
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for w, t in list(self.present()):
                c = t.job.cancelled_at
                if c is not None and now - c > self.cancel_s and (w.name, t.lot) not in reported:
                    reported.add((w.name, t.lot))
                    self.violate("ran_cancelled", f"{t.lot} is on {w.name} {now - c:.1f}s after its user was told")
            for job in self.jobs.values():
                if job.done_at is None and job.spec["sale_kind"] != "standing" and len(job.results) >= job.spec["lots"]:
                    job.done_at = now
                    self.note("job", f"{job.spec['name_id']} all tasks complete")

    # Gangs.

    def gang_waits(self, worker, task):
        gang = self.gangs.setdefault((task.job.spec["name_id"], task.attempt), {"members": {}, "state": "waiting"})
        gang["members"][task.lot] = (worker, task)
        asyncio.ensure_future(self.gang_timeout(worker, task))
        waiting = [t for _, t in gang["members"].values() if t.state == "waiting"]
        if len(waiting) == task.job.spec["lots"] and gang["state"] == "waiting":
            gang["state"] = "running"
            for w, t in gang["members"].values():
                w.run(t)
            asyncio.ensure_future(self.gang_run(gang, task.job))

    async def gang_timeout(self, worker, task):
        await asyncio.sleep(self.params["gang_wait_s"])
        if task.state == "waiting":
            worker.exit(task, "alone")

    async def gang_run(self, gang, job):
        left = job.run_s
        while left > 0 and gang["state"] == "running":
            await asyncio.sleep(min(left, 0.1))
            if not any(w.hung for w, _ in gang["members"].values()):
                left -= 0.1
        if gang["state"] != "running":
            return
        gang["state"] = "done"
        for w, t in gang["members"].values():
            if not job.fails:
                job.results[t.lot] = True
            w.exit(t, "error" if job.fails else "done")

    def gang_broken(self, task):
        gang = self.gangs.get((task.job.spec["name_id"], task.attempt))
        if gang and gang["state"] == "running":
            gang["state"] = "broken"
            asyncio.ensure_future(self.gang_peers_exit(gang))

    def gang_member_left(self, task):
        gang = self.gangs.get((task.job.spec["name_id"], task.attempt))
        if gang and gang["state"] == "waiting":
            gang["members"].pop(task.lot, None)
        self.gang_broken(task)

    async def gang_peers_exit(self, gang):
        await asyncio.sleep(self.params["gang_peer_s"])
        for w, t in gang["members"].values():
            if t.state == "running" and not w.gone:
                w.exit(t, "peers")

    # Machines.

    async def start_worker(self, name, machine):
        worker = Worker(self, name, machine)
        await worker.start()
        self.workers[name] = worker
        self.note("machine", f"{name} {machine['rig']} in {machine['yard']} is up")
        return worker

    def machine_gone(self, name, why):
        worker = self.workers.pop(name, None)
        if worker:
            running = [t.lot for t in worker.tasks.values() if t.state != "exited"]
            self.note("machine", f"{name} gone, {why}, tasks on it: {running}")
            worker.stop()

    # Controllers.

    def settings(self, node):
        lines = [f'host_name = "{node.name}"', f'site = "{node.zone}"', f'api_addr = "127.0.0.1:{node.api}"',
                 f'peer_bind = "127.0.0.1:{node.peer}"']
        for other in self.nodes:
            if other is not node:
                addr = getattr(node, "routes", {}).get(other.name, other.peer)
                lines += ["[[seeds]]", f'host_name = "{other.name}"', f'site = "{other.zone}"', f'addr = "127.0.0.1:{addr}"']
        lines += ["[external]", f'cloud = "127.0.0.1:{self.cloud.ports[node.name]}"',
                  f'state = "127.0.0.1:{self.state.ports[node.name]}"', "[deployment]", f"initial_size = {len(self.nodes)}",
                  f"zones = {self.zones!r}".replace("'", '"'), "clock_off_ms = 100.0"]
        for team in self.teams:
            lines += ["[[deployment.teams]]"] + [f"{k} = {v!r}".replace("'", '"') for k, v in team.items()]
        for o in self.objectives:
            lines += ["[[deployment.objectives]]"] + [f"{k} = {v!r}".replace("'", '"') for k, v in o.items()]
        for section, values in (("workers", self.params), ("state", self.state_limits), ("cloud", self.cloud_limits),
                                ("resources", self.resources)):
            lines += [f"[deployment.{section}]"] + [f"{k} = {v}" for k, v in values.items()]
        return "\n".join(lines) + "\n"

    def start_node(self, node):
        path = os.path.join(self.dir.name, node.name + ".toml")
        with open(path, "w", encoding="utf-8") as f:
            f.write(self.settings(node))
        with open(os.path.join(ROOT, "deploy", "service.toml"), encoding="utf-8") as f:
            run = next(line.split('"')[1] for line in f if line.startswith("run = "))
        log = open(os.path.join(self.dir.name, node.name + ".log"), "a", encoding="utf-8")
        node.process = subprocess.Popen(run.split() + [path], cwd=ROOT, stderr=log, stdout=subprocess.DEVNULL,
                                        env={**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")})
        self.note("node", f"{node.name} started")

    def signal_node(self, node, sig):
        self.note("node", f"{node.name} gets {signal.Signals(sig).name}")
        node.process.send_signal(sig)
        if sig == signal.SIGKILL:
            node.process.wait()

    def check_nodes(self):
        for n in self.nodes:
            if n.process and n.process.poll() not in (None, -signal.SIGKILL):
                self.violate("crash", f"{n.name} ended with {n.process.returncode}")

    def node(self, name):
        return next((n for n in self.nodes if n.name == name), None)

    async def start(self, initial_machines=()):
        names = [n.name for n in self.nodes]
        await self.state.start(names)
        await self.cloud.start(names)
        for rig, zone, spot, age_s in initial_machines:
            self.cloud.new_machine(rig, zone, spot, age_s, 0.0)
        await asyncio.sleep(0.2)
        self.cloud.history.clear()  # machines that were there before are listed from the start
        self.cloud.snapshot()
        for n in self.nodes:
            self.start_node(n)
            asyncio.ensure_future(self.probe_loop(n))
        asyncio.ensure_future(self.check_loop())

    async def probe_loop(self, node):
        """The load balancer's health checks."""
        removed_at = 0.0
        while True:
            answer = await Client(node.api).request("GET", "/healthz", None, 1.0)
            node.probes = (node.probes + [bool(answer and answer[0] == 200)])[-6:]
            if node.healthy and (node.probes[-2:] == [False, False] or node.probes.count(False) >= 3):
                node.healthy, removed_at = False, time.monotonic()
            elif not node.healthy and node.probes[-2:] == [True, True] and time.monotonic() - removed_at >= 3:
                node.healthy, node.probes = True, []
            await asyncio.sleep(1.0)

    async def leader(self, timeout=15.0, other_than=None):
        """Waits until a controller holds the key `leader` and answers a poll of an unknown job with 404."""
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            node = self.node(self.state.leader())
            if node and node is not other_than:
                answer = await Client(node.api).request("GET", "/v2/runs/req-999999999", None, 1.0)
                if answer and answer[0] == 404 and self.state.leader() == node.name:
                    return node
            await asyncio.sleep(0.1)
        return None

    def stop(self):
        for n in self.nodes:
            if n.process and n.process.poll() is None:
                n.process.send_signal(signal.SIGCONT)
                n.process.kill()
                n.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for n in self.nodes:
                path = os.path.join(self.dir.name, n.name + ".log")
                with open(path, encoding="utf-8") as f, open(os.path.join(keep, n.name + ".log"), "w", encoding="utf-8") as out:
                    out.write(f.read())
        self.dir.cleanup()

    # Users.

    def spec(self, number, **fields):
        return {"name_id": f"req-{number:06d}", "lot_class": "work", "consignor": self.teams[0]["name"], "sale_kind": "array",
                "urgency": "normal", "lots": 1, "cores": 1.0, "accelerators": 0.0, "mem_gb": 2.0, "bundle": "img-1",
                "size_gb": 0.1, "rigs": None, "yard": None, "same_place": False, "scatter": False, "loaners": True,
                "expected_s": 10.0, "tally_s": 0.0, "bank_s": 0.0, "due_s": None, **fields}

    async def ask(self, method, path, body=None, node=None, timeout=5.0):
        node = node or random.choice([n for n in self.nodes if n.healthy] or self.nodes)
        return await Client(node.api).request(method, path, body, timeout), node

    def told(self, job, status, node):
        """Checks an answer with a state against all answers before. `status`: queued, running, done or aborted."""
        now = time.monotonic()
        job.last_answer_at = now
        id_ = job.spec["name_id"]
        if job.cancelled_at is not None and status != "aborted":
            self.violate("went_back", f"{id_} was called aborted, {node.name} calls it {status}")
        if job.told_done_at is not None and status != "done":
            self.violate("went_back", f"{id_} was called done, {node.name} calls it {status}")
        if status == "aborted" and job.cancelled_at is None:
            job.cancelled_at = now
            if job.cancel_asked_at is None and not self.ancestor_cancelled(job):
                self.violate("went_back", f"{id_} is called aborted, its user did not cancel it")
        if status in ("queued", "running") and self.cancelled_before(job, now - self.cancel_s):
            self.violate("orphaned", f"{id_} is called {status}, a job before it was called aborted more than cancel_s ago")
        if status == "done" and job.told_done_at is None:
            job.told_done_at = now
            if len(job.results) < job.spec["lots"]:
                self.violate("not_done", f"{id_} is called done with {len(job.results)} of {job.spec['lots']} tasks complete")

    def cancelled_before(self, job, at):
        for d in job.spec.get("awaits") or []:
            other = self.jobs[d]
            if (other.cancelled_at is not None and other.cancelled_at < at) or self.cancelled_before(other, at):
                return True
        return False

    def ancestor_cancelled(self, job):
        for d in job.spec.get("awaits") or []:
            other = self.jobs[d]
            if other.cancel_asked_at is not None or self.ancestor_cancelled(other):
                return True
        return False

    async def submit(self, spec, run_s, fails=False, give_up_s=60.0):
        job = self.jobs.get(spec["name_id"]) or Job(spec, run_s, fails)
        self.jobs[spec["name_id"]] = job
        end = time.monotonic() + give_up_s
        while time.monotonic() < end:
            answer, node = await self.ask("POST", "/v2/runs", spec)
            status = answer[0] if answer else None
            self.note("user", f"submit {spec['name_id']} at {node.name}: {status} {answer[2] if answer else ''}")
            if status in (200, 201):
                if job.accepted_at is None:
                    job.accepted_at = time.monotonic()
                self.told(job, answer[2]["status"], node)
                return job
            if status in (400, 422):
                if job.accepted_at is not None:
                    self.violate("forgotten", f"repeated submission of {spec['name_id']} answered {status}")
                return job
            retry = float(answer[1].get("retry-after", 0)) if answer else 0
            await asyncio.sleep(max(1.0, min(30.0, retry)))
        return job

    async def poll(self, job, node=None):
        answer, node = await self.ask("GET", "/v2/runs/" + job.spec["name_id"], node=node, timeout=2.0)
        status = answer[0] if answer else None
        if status == 200:
            self.told(job, answer[2]["status"], node)
            return answer[2]["status"]
        if status == 404 and job.accepted_at is not None:
            self.violate("forgotten", f"{job.spec['name_id']} was accepted, {node.name} answers 404")
        return None

    async def cancel(self, job, give_up_s=60.0):
        job.cancel_asked_at = job.cancel_asked_at or time.monotonic()
        end = time.monotonic() + give_up_s
        while time.monotonic() < end:
            answer, node = await self.ask("POST", f"/v2/runs/{job.spec['name_id']}/cancel")
            status = answer[0] if answer else None
            self.note("user", f"cancel {job.spec['name_id']} at {node.name}: {status} {answer[2] if answer else ''}")
            if status == 200:
                self.told(job, answer[2]["status"], node)
                return
            if status == 404 and job.accepted_at is not None:
                self.violate("forgotten", f"{job.spec['name_id']} was accepted, {node.name} answers 404 to its cancellation")
            await asyncio.sleep(1.0)
