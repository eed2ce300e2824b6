#!/usr/bin/env python3
"""Days on which two or three troubles meet: draws them, plays them on the users' bench, tells what broke.

    bench/meetings.py draw SITE --seed N [--share X] [--out FILE]
    bench/meetings.py gap KITDIR SITE --seeds FIRST:LAST [--share X] [--jobs N] [--days DIR]
    bench/meetings.py play KITDIR SITE --seeds FIRST:LAST [--share X] [--jobs N] [--days DIR] [--log LEVEL]
    bench/meetings.py pairs KITDIR SITE --seeds FIRST:LAST [--share X] [--jobs N] [--days DIR] [--log LEVEL]

A day is drawn from the list of meetings below: its troubles, their offsets (0.1 s to over a worker's lease), which
controller they hit (the busiest, or any), how many jobs are small, long and cancelled; it ends in quiet, for longer than
a job may go without an answer. The same seed and site write the same file. `play` prints a line for each day: seed,
meeting, rules broken (a forgotten job is one), least share served by class and team. `gap` plays the operators' gap day
in variants, each with all seeds, and tells from the logs on how many of them the meeting came about. `pairs` plays each of
the newer troubles alone and each two of them at once, on short days of many one-task jobs. Exit codes: 0 all well, 1 a rule
was broken or a day failed, 2 usage, a wrong site or day file, 3 the bench did not end as it
should. All figures are of simulated machines. Journal entries are left to be committed as they are.
"""

import argparse
import concurrent.futures
import json
import pathlib
import random
import re
import subprocess
import sys
import tempfile
import tomllib

QUIET_S = 130.0  # after the last trouble: longer than a lease, a cancellation and the 75 s of a forgotten job together
FEW = 8


def fail(text, code=2):
    print(f"meetings: {text}", file=sys.stderr)
    raise SystemExit(code)


class Site:
    def __init__(self, path):
        try:
            with open(path, "rb") as f:
                site = tomllib.load(f)
            self.name = site["name"]
            self.lease_s = float(site["workers"]["lease_s"])
            self.cancel_s = float(site["workers"]["cancel_s"])
            self.nodes = int(site["nodes"]["count"])
            self.zones = list(site["nodes"]["zones"])
            self.jobs = site["jobs"]
            self.room = {k: site.get(k, []) for k in ("capacity", "machines", "teams")}
            _ = [(j["name"], j["kind"], j["arrivals"]["rate"], j["run_s"]["median"]) for j in self.jobs]
        except (OSError, tomllib.TOMLDecodeError, KeyError, TypeError, ValueError, UnicodeDecodeError) as e:
            fail(f"{path}: not a site file: {type(e).__name__}: {e}")
        if self.lease_s <= 0 or self.nodes < 1 or not self.jobs:
            fail(f"{path}: not a site file: no jobs, no controllers or no lease")


class Draw:
    """One drawn day. Times in seconds."""

    def __init__(self, site, seed):
        self.site, self.random, self.faults = site, random.Random(f"{site.name} {seed}"), []
        self.seed = seed
        self.small = False  # one-task jobs, four a second, a quarter of them cancelled
        self.crowded = False  # more work than room

    def between(self, low, high):
        return round(self.random.uniform(low, high), 1)

    # Offsets cluster near nothing, near a leader's lease, and reach over a worker's.
    def offset(self):
        return self.random.choice(
            [
                self.between(0.1, 1.0),
                self.between(1.0, 5.0),
                self.between(5.0, 15.0),
                self.between(15.0, 1.2 * self.site.lease_s),
            ]
        )

    def add(self, at, kind, **fields):
        self.faults.append({"at_s": round(at, 1), "kind": kind, **fields})

    def one(self):
        return {"count": 1, "busiest": self.random.random() < 0.75}

    def cut(self, at, for_s, mode=None, **what):
        # A refusal is the state service's own; any other link is held or reset.
        modes = ["hold", "reset"] + (["refuse", "refuse"] if set(what) == {"from_state"} else [])
        mode = mode or self.random.choice(modes)
        self.add(at, "node_cut", **self.one(), **what, mode=mode, for_s=for_s)

    # ---- the meetings ----

    def gap(self, at):
        """the leader alone is refused, then all are, for longer than a cancellation may take"""
        first = self.between(1.0, 12.0)
        down = self.between(0.7, 1.3) * self.site.cancel_s
        self.cut(at, first + self.between(5.0, 25.0), self.random.choice(["refuse", "refuse", "hold"]),
                 from_state=True, **({"from_peers": True} if self.random.random() < 0.3 else {}))
        self.add(at + first, "state_outage", for_s=round(down, 1))
        if self.random.random() < 0.4:
            self.random.choice([self.crash, self.freeze])(at + first + self.offset())
        return first + down

    def hand_over_and_back(self, at):
        """controllers hand over and back, all end, one returns at once"""
        t = at
        for _ in range(self.random.randint(2, 4)):
            self.add(t, "node_crash", count=self.random.randint(1, self.site.nodes), busiest=True)
            t += self.between(0.1, 7.0)
        if self.random.random() < 0.5:
            self.add(t, "peers_refuse", for_s=self.between(5.0, 40.0))
            self.cut(t + self.offset(), self.between(5.0, 40.0), from_workers=True)
        return t - at + 60

    def late_writes(self, at):
        """transactions without an answer, carried out late, as leaders end"""
        for_s = self.between(20.0, 80.0)
        self.add(at, "late_writes", share=self.random.choice([0.1, 0.3, 0.6, 1.0]), for_s=for_s)
        for _ in range(self.random.randint(1, 3)):
            self.random.choice([self.crash, self.cut_state, self.freeze])(at + self.between(0.1, for_s))
        return for_s + 20

    def out_of_reach(self, at):
        """a leader ends while machines can't be reached, or don't hear the next one"""
        for_s = self.between(10.0, 1.6 * self.site.lease_s)
        kind = self.random.choice(["machine_deaf", "machine_deaf", "machine_cut", "machine_hang"])
        count = self.random.randint(3, 40)
        extra = {"mode": self.random.choice(["hold", "reset"])} if kind == "machine_cut" else {}
        self.add(at, kind, count=count, for_s=for_s, **extra)
        end = at + self.offset()
        self.random.choice([self.crash, self.cut_state, self.freeze])(end)
        if self.random.random() < 0.5:
            self.crash(end + self.offset())
        return max(for_s, end - at + 50)

    def slow_then_gone(self, at):
        """the state service answers slowly, refuses one, then all"""
        slow = self.between(10.0, 40.0)
        self.add(at, "state_slow", factor=self.random.choice([20.0, 60.0, 120.0, 220.0]), for_s=slow)
        self.cut(at + self.between(0.1, slow), self.between(4.0, 30.0), "refuse", from_state=True)
        down = self.between(5.0, 1.2 * self.site.cancel_s)
        self.add(at + slow + self.offset() / 4, "state_outage", for_s=down)
        return slow + down + 20

    def late_reports(self, at):
        """old reports after newer ones, as leaders and sessions change"""
        for_s = self.between(40.0, 90.0)
        self.add(at, "late_reports", share=self.random.choice([0.1, 0.4, 1.0]), for_s=for_s)
        for _ in range(self.random.randint(1, 3)):
            self.random.choice([self.crash, self.cut_state, self.machines])(at + self.between(0.1, for_s))
        return for_s + self.site.lease_s

    def alone(self, at):
        """a leader is cut from the state service and its peers, not from workers and users"""
        for_s = self.between(8.0, 1.5 * self.site.cancel_s)
        self.cut(at, for_s, from_state=True, from_peers=True)
        for _ in range(self.random.randint(0, 2)):
            self.random.choice([self.crash, self.outage, self.machines, self.freeze])(at + self.offset())
        return max(for_s, 60.0)

    def held_commands(self, at):
        """commands and answers are held up, and the machine goes on"""
        for_s = self.between(2.0, 0.9 * self.site.lease_s)
        self.add(at, "machine_cut", count=self.random.randint(5, 60), mode="hold", for_s=for_s)
        self.random.choice([self.crash, self.hang, self.cut_state])(at + self.between(0.1, for_s))
        self.cut(at + self.offset(), self.between(3.0, 20.0), "hold", from_workers=True)
        return for_s + 50

    def zone_away(self, at):
        """a zone with workers and a controller is cut off for longer than a worker's lease"""
        for_s = self.between(1.05, 1.8) * self.site.lease_s
        if len(self.site.zones) > 1:
            self.add(at, "zone_cut", zone=self.random.choice(self.site.zones), mode=self.random.choice(["hold", "reset"]),
                     for_s=round(for_s, 1))
        else:  # one zone alone: a part of its machines and a controller
            self.add(at, "machine_cut", share=0.3, mode="hold", for_s=round(for_s, 1))
            self.cut(at, round(for_s, 1), "hold", from_state=True, from_peers=True)
        self.random.choice([self.crash, self.cut_state, self.cancels])(at + self.offset())
        return for_s

    def ten_leaders(self, at):
        """leaders change ten times in two minutes, also inside an outage"""
        t = at
        for _ in range(10):
            self.random.choice([self.crash_one, self.crash_one, self.freeze])(t)
            t += self.between(6.0, 14.0)
        if self.random.random() < 0.5:
            self.outage(at + self.between(20.0, 60.0))
        return t - at

    def kept_reports(self, at):
        """a report is held until a new leader has acted, or reaches every controller just as one begins"""
        for_s = self.between(30.0, 80.0)
        self.add(at, "late_reports", share=self.random.choice([0.2, 0.5, 1.0]), for_s=for_s, for_next=True)
        for _ in range(self.random.randint(1, 3)):
            self.random.choice([self.crash_one, self.cut_state, self.freeze])(at + self.between(0.1, for_s))
        return for_s + self.site.lease_s

    def at_the_limit(self, at):
        """teams are at their limits as the leader changes, machines can't be asked or hang, and jobs are cancelled"""
        self.crowded = True
        self.random.choice([self.machines, self.mute, self.hang])(at)
        self.cancels(at + self.between(0.1, 4.0))
        self.crash_one(at + self.between(0.1, 6.0))
        self.cancels(at + self.between(4.0, 15.0))
        return 1.5 * self.site.lease_s

    def up_at_once(self, at):
        """new machines are up within two seconds and get work while writes lag, and the leader ends"""
        for_s = self.between(40.0, 80.0)
        self.crowded = True
        self.add(at, "boot_trouble", fail=0.0, factor=0.05, for_s=for_s)
        self.late_answers(at)
        for _ in range(self.random.randint(1, 2)):
            self.crash_one(at + self.between(3.0, for_s))
        return for_s + 20

    def refused_then_gone(self, at):
        """jobs are cancelled as the state service refuses the leader alone; a second later it is out for all"""
        self.cut(at, self.between(4.0, 20.0), "refuse", from_state=True)
        self.add(at + self.between(-0.3, 0.9), "cancel_now", count=self.random.randint(4, 24))
        down = self.between(1.02, 1.3) * self.site.cancel_s
        self.add(at + self.between(0.8, 1.2), "state_outage", for_s=round(down, 1))
        return down

    def hung_cancelled(self, at):
        """jobs are cancelled whose machines hang, and go on; one controller's work may change hands"""
        for _ in range(self.random.randint(1, 3)):
            self.add(at, "cancel_now", count=self.random.randint(4, 16), hang_s=self.between(2.0, 1.3 * self.site.cancel_s))
            if self.random.random() < 0.6:
                self.random.choice([self.crash_one, self.cut_state, self.freeze])(at + self.between(-1.0, 3.0))
            at += self.between(3.0, 20.0)
        return 1.3 * self.site.cancel_s + 60

    def ends_and_looks(self, at):
        """a cancellation, a question or a repeated submission meets the end of a last task; users look everywhere"""
        for_s = self.between(40.0, 90.0)
        self.small = True
        self.add(at, "cancel_at_end", share=self.random.choice([0.3, 0.6, 1.0]), for_s=for_s)
        self.add(at, "close_looks", for_s=for_s)
        if self.random.random() < 0.6:
            self.add(at, "odd_requests", for_s=for_s)
        if self.random.random() < 0.7:
            self.random.choice([self.late_answers, self.crash_one, self.cut_state, self.freeze, self.alone, self.slow,
                                self.refusals])(at + self.between(1.0, for_s / 2))
        return for_s + 30

    def mute_machines(self, at):
        """workers can't open connections to any controller, while commands reach them"""
        self.mute(at)
        self.cancels(at + self.between(0.5, 20.0))
        if self.random.random() < 0.6:
            self.random.choice([self.crash_one, self.cut_state])(at + self.offset())
        return 1.5 * self.site.lease_s + 20

    def all_away(self, at):
        """all controllers are away for longer than a worker's lease"""
        for_s = round(self.between(1.02, 1.5) * self.site.lease_s, 1)
        self.add(at, "node_freeze", count=self.site.nodes, busiest=True, for_s=for_s)
        if self.random.random() < 0.5:
            self.add(at + for_s + self.between(0.1, 3.0), "late_reports", share=0.5, for_s=20.0)
        return for_s

    def hands_change(self, at):
        """jobs are cancelled in the seconds in which one controller's work changes hands"""
        for _ in range(self.random.randint(2, 4)):
            self.random.choice([self.crash_one, self.cut_state, self.freeze, self.alone])(at)
            for _ in range(2):
                self.cancels(at + self.between(0.0, 4.0))
            at += self.between(8.0, 20.0)
        return 60.0

    # ---- single troubles ----

    def crash_one(self, at):
        self.add(at, "node_crash", count=1, busiest=True)

    def cancels(self, at):
        self.add(at, "cancel_now", count=self.random.randint(4, 24),
                 **({"hang_s": self.between(2.0, self.site.cancel_s)} if self.random.random() < 0.3 else {}))

    def mute(self, at):
        self.add(at, "machine_mute", count=self.random.randint(3, 40), for_s=self.between(2.0, 1.6 * self.site.lease_s))

    def late_answers(self, at):
        self.add(at, "late_writes", share=self.random.choice([0.2, 0.5, 1.0]), for_s=self.between(10.0, 50.0),
                 **({"at_once": True} if self.random.random() < 0.7 else {}))

    def slow(self, at):
        self.add(at, "state_slow", factor=self.random.choice([20.0, 60.0, 120.0]), for_s=self.between(10.0, 40.0))

    def refusals(self, at):
        self.add(at, "peers_refuse", for_s=self.between(5.0, 40.0))

    def crash(self, at):
        self.add(at, "node_crash", count=self.random.randint(1, self.site.nodes), busiest=self.random.random() < 0.75)

    def freeze(self, at):
        self.add(at, "node_freeze", **self.one(), for_s=self.between(2.0, 30.0))

    def cut_state(self, at):
        self.cut(at, self.between(3.0, 40.0), from_state=True)

    def outage(self, at):
        self.add(at, "state_outage", for_s=self.between(3.0, 1.3 * self.site.cancel_s))

    def hang(self, at):
        self.add(at, "machine_hang", count=self.random.randint(3, 40), for_s=self.between(2.0, 1.3 * self.site.lease_s))

    def machines(self, at):
        kind = self.random.choice(["machine_deaf", "machine_hang", "machine_cut"])
        extra = {"mode": "hold"} if kind == "machine_cut" else {}
        self.add(at, kind, count=self.random.randint(3, 40), for_s=self.between(2.0, 1.5 * self.site.lease_s), **extra)


MEETINGS = [
    Draw.gap,
    Draw.hand_over_and_back,
    Draw.late_writes,
    Draw.out_of_reach,
    Draw.slow_then_gone,
    Draw.late_reports,
    Draw.alone,
    Draw.held_commands,
    Draw.zone_away,
    Draw.ten_leaders,
    Draw.kept_reports,
    Draw.at_the_limit,
    Draw.up_at_once,
    Draw.refused_then_gone,
    Draw.hung_cancelled,
    Draw.ends_and_looks,
    Draw.mute_machines,
    Draw.all_away,
    Draw.hands_change,
]

# The newer troubles, each alone and each two at once on a short day (`pairs`).
TROUBLES = {
    "close-looks": ("close_looks", {}),
    "cancel-at-end": ("cancel_at_end", {"share": 0.6}),
    "cancel-hang": ("cancel_now", {"count": 12, "hang_s": 30.0}),
    "odd-requests": ("odd_requests", {}),
    "mute": ("machine_mute", {"count": 12}),
    "answer-lost": ("late_writes", {"share": 0.5, "at_once": True}),
    "kept-reports": ("late_reports", {"share": 0.5, "for_next": True}),
    "late-writes": ("late_writes", {"share": 0.5}),
    "leader-ends": ("node_crash", {"count": 1, "busiest": True}),
    "refused": ("node_cut", {"count": 1, "busiest": True, "from_state": True, "mode": "refuse"}),
    "peers-refuse": ("peers_refuse", {}),
    "slow": ("state_slow", {"factor": 80.0}),  # so that more goes with each transaction
}
LASTS_S, AT_ONCE = 40.0, ("cancel_now", "node_crash")


def pair_days(site, share):
    """Name and day of each: one-task jobs, four a second, a quarter cancelled."""
    names = list(TROUBLES)
    for i, a in enumerate(names):
        for b in names[i:]:
            faults = []
            for n, name in enumerate(dict.fromkeys((a, b))):
                kind, what = TROUBLES[name]
                times = [60.0, 75.0, 90.0] if kind in AT_ONCE else [60.0]
                lasts = {} if kind in AT_ONCE else {"for_s": LASTS_S}
                faults += [{"at_s": t + 2.0 * n, "kind": kind, **what, **lasts} for t in times]
            name = a if a == b else f"{a}+{b}"
            yield name, {"name": name, "seed": 1, "duration_s": 60 + LASTS_S + QUIET_S, "jobs": small_jobs(site),
                         "faults": sorted(faults, key=lambda f: f["at_s"]), **({} if share == 1 else scaled(site, share))}


# One-task jobs, four a second for all classes together.
def small_jobs(site):
    arrays = [j for j in site.jobs if j["kind"] == "array"] or site.jobs
    jobs = []
    for j in site.jobs:
        if j in arrays:
            jobs.append({"name": j["name"], "cancelled": 0.25, "tasks": {"median": 1.0, "p95": 1.0, "max": 1.0},
                         "run_s": {"median": 12.0, "p95": 40.0, "max": 60.0}, "initial": 8,
                         "arrivals": {**j["arrivals"], "rate": round(4.0 / len(arrays), 4)}})
        else:
            jobs.append({"name": j["name"], "arrivals": {**j["arrivals"], "rate": 0.02}, "initial": 1})
    return jobs


# The day at a share of the site's size: machines, limits and jobs.
def scaled(site, share):
    def smaller(row, *fields):
        return {**row, **{f: type(row[f])(max(1, round(row[f] * share))) for f in fields if row.get(f)}}

    return {
        "capacity": [smaller(c, "count", "spot") for c in site.room["capacity"]],
        "machines": [smaller(m, "count") for m in site.room["machines"]],
        "teams": [smaller(t, "cpus", "cpus_max", "gpus", "gpus_max") for t in site.room["teams"]],
    }


def drawn(site, seed, share=1.0):
    d = Draw(site, seed)
    first = MEETINGS[seed % len(MEETINGS)]
    at = d.between(60.0, 110.0)
    end = at + first(d, at)
    if d.random.random() < 0.35:
        second = d.random.choice(MEETINGS)
        end = max(end, at + second(d, at + d.offset()) + 30)
    jobs = []
    cancelled = d.random.choice([0.1, 0.3, 0.6, 0.8])
    for j in site.jobs:
        job = {"name": j["name"], "cancelled": cancelled}
        rate = j["arrivals"]["rate"] * share
        if d.random.random() < 0.6:
            median = d.between(15.0, 180.0)
            job["run_s"] = {"median": median, "p95": round(median * 1.3, 1), "max": round(median * 1.5, 1)}
            rate *= min(1.0, j["run_s"]["median"] / median)  # no more work than on the site's own days
        if j["kind"] == "array" and d.random.random() < 0.6:
            job["tasks"] = {"median": 2.0, "p95": 3.0, "max": 3.0}
        job["arrivals"] = {**j["arrivals"], "rate": round(rate, 4)}
        job["initial"] = round(j.get("initial", 0) * rate / j["arrivals"]["rate"])
        jobs.append(job)
    if d.small:
        jobs = small_jobs(site)
    if d.crowded:
        for j in jobs:
            j["arrivals"] = {**j["arrivals"], "rate": round(2.5 * j["arrivals"]["rate"], 4)}
    for f in d.faults:
        end = max(end, f["at_s"] + f.get("for_s", f.get("hang_s", 0.0)))
    day = {
        "name": f"meet-{first.__name__.replace('_', '-')}-{seed}",
        "seed": 7000 + seed,
        "duration_s": round(end + QUIET_S, 1),
        # A third of the days: processes are back within a fraction of a second.
        **({"nodes": {"restart_delay_s": d.between(0.1, 0.9)}} if d.random.random() < 0.33 else {}),
        "jobs": jobs,
        "faults": sorted(d.faults, key=lambda f: f["at_s"]),
    }
    return day if share == 1 else {**day, **scaled(site, share)}


def toml_value(v):
    if isinstance(v, bool):
        return "true" if v else "false"
    if isinstance(v, (int, float)):
        return repr(v)
    if isinstance(v, str):
        return json.dumps(v)
    if isinstance(v, (list, tuple)):
        return "[" + ", ".join(toml_value(x) for x in v) + "]"
    return "{ " + ", ".join(f"{k} = {toml_value(x)}" for k, x in v.items()) + " }"


def toml_day(day):
    lines = []
    for k, v in day.items():
        if isinstance(v, list) and v and isinstance(v[0], dict):
            lines += [f"{k} = ["] + [f"  {toml_value(x)}," for x in v] + ["]"]
        else:
            lines.append(f"{k} = {toml_value(v)}")
    return "\n".join(lines) + "\n"


def least_served(report):
    """The least share served of any class or team, cancelled jobs aside; and where. A handful of jobs tells nothing."""
    shares = [(1.0, "all")]
    for name, c in report.get("classes", {}).items():
        if (of := c["jobs"] - c["cancelled"]) >= FEW:
            shares.append((min(1.0, c["done"] / of), name))
    for name, t in report.get("teams", {}).items():
        if t["jobs"] >= FEW:
            shares.append((t["started"] / t["jobs"], "team " + name))
    return min(shares)


def play(bench, site_file, day_file, log, work):
    report = pathlib.Path(work) / (day_file.stem + ".json")
    out = pathlib.Path(work) / (day_file.stem + ".log")
    call = [bench, "run", site_file, str(day_file), "--report", str(report), "--no-cpu"]
    call += ["--why", f"a drawn meeting of troubles ({day_file.stem}): no rule breaks"]
    if log:
        call += ["--log", log]
    with open(out, "wb") as f:
        code = subprocess.run(call, stdout=f, stderr=subprocess.STDOUT, check=False).returncode
    if not report.exists():
        return {"error": f"the bench ended with {code} and left no report, see {out}"}
    with open(report, encoding="utf-8") as f:
        return json.load(f)


class Played:
    """Plays `days` (a label and a file each), several at once: iterates over label, file and report of those that were
    played, in order; tells of the others, and counts them in `lost`."""

    def __init__(self, bench, args, log, work, days):
        self.bench, self.args, self.log, self.work, self.days, self.lost = bench, args, log, work, days, 0

    def __iter__(self):
        with concurrent.futures.ThreadPoolExecutor(max_workers=max(1, self.args.jobs)) as pool:
            results = pool.map(
                lambda d: play(self.bench, self.args.site, d[1], self.log, str(self.work)), self.days)
            for (label, file), report in zip(self.days, results):
                if "error" in report:
                    print(f"{label} {file.stem}: {report['error']}", flush=True)
                    self.lost += 1
                else:
                    yield label, file, report


def work_folder(args):
    work = pathlib.Path(args.days or tempfile.mkdtemp(prefix="meetings-"))
    work.mkdir(parents=True, exist_ok=True)
    return work


# ---- the gap: the operators' day, and what may be beside it ----

REFUSED_S, AT_S, SMALL_JOBS = 14.0, 70.0, 6


def gap_days(site, share):
    """Name and day of each variant. The outage is longer than a cancellation may take."""
    down = round(1.16 * site.cancel_s, 1)
    array = next((j for j in site.jobs if j["kind"] == "array"), site.jobs[0])
    jobs = []
    for j in site.jobs:
        # Of the class that is cancelled, many small jobs in place of fewer large ones: some are cancelled in any second.
        many = SMALL_JOBS if j is array else 1
        jobs.append({"name": j["name"], "arrivals": {**j["arrivals"], "rate": round(j["arrivals"]["rate"] * share * many, 4)},
                     "initial": round(j.get("initial", 0) * share * many)})
        if j is array:
            jobs[-1].update(cancelled=0.8, run_s={"median": 180.0, "p95": 225.0, "max": 255.0},
                            tasks={"median": 2.0, "p95": 3.0, "max": 3.0})

    def day(name, after, mode="refuse", more=(), for_s=REFUSED_S, **what):
        cut = {"at_s": AT_S, "kind": "node_cut", "count": 1, "busiest": True, "from_state": True, **what, "mode": mode,
               "for_s": for_s}
        faults = [cut, {"at_s": AT_S + after, "kind": "state_outage", "for_s": down}, *more]
        return name, {"name": name, "seed": 1, "duration_s": AT_S + after + down + QUIET_S, "jobs": jobs,
                      "faults": sorted(faults, key=lambda f: f["at_s"]), **({} if share == 1 else scaled(site, share))}

    for after in (1.0, 3.0, 4.5, 6.0, 9.0, 12.0):
        yield day(f"after-{after:g}", after)
    yield day("hold", 6.0, "hold")
    yield day("alone", 6.0, "reset", from_peers=True)
    yield day("alone-long", 6.0, "hold", for_s=down + 20, from_peers=True)
    yield day("next-crashes", 7.0, more=[{"at_s": AT_S + 6.5, "kind": "node_crash", "count": 2, "busiest": True}])
    yield day("next-freezes", 7.0, more=[{"at_s": AT_S + 6.5, "kind": "node_freeze", "count": 2, "busiest": True, "for_s": 25.0}])
    yield day("late", 6.0, more=[{"at_s": AT_S - 5, "kind": "late_writes", "share": 0.4, "for_s": 60.0},
                                 {"at_s": AT_S - 5, "kind": "late_reports", "share": 0.4, "for_s": 90.0}])
    yield day("deaf", 6.0, more=[{"at_s": AT_S, "kind": "machine_deaf", "count": 12, "for_s": 90.0}])


LINE = re.compile(r"^ *([0-9.]+) (\S+) \S+ \w+ (.*)$")


def meeting_in(log, cut_at, down_at):
    """Whether the leader was cut and another led before the outage, how many jobs that one or a door then told as
    cancelled, and the longest time from there until none of their tasks was left, as far as a leader could prove it."""
    leader, cut, led, told, gone = None, None, False, {}, {}
    for raw in log.decode("utf-8", "replace").splitlines():
        if m := re.match(r" +at ([0-9.]+) s: .*?(millstone-\d+)", raw):
            if cut is None and abs(float(m[1]) - cut_at) < 2:
                cut = m[2]
        if m := re.match(r" +at ([0-9.]+) s: the state service has trouble", raw):
            down_at = float(m[1])
    leader_then = None
    for raw in log.decode("utf-8", "replace").splitlines():
        m = LINE.match(raw)
        if not m:
            continue
        at, node, text = float(m[1]), m[2], m[3]
        if text.startswith("election: won"):
            led = led or (leader_then == cut and node != cut and cut_at <= at < down_at)
            leader = node
        if leader_then is None and at >= cut_at - 0.5:
            leader_then = leader
        told_here = re.match(r"(?:job: (\S+) cancellation recorded|standby: (\S+) reported as cancelled)", text)
        if told_here and led and node != cut and at < down_at:
            told.setdefault(told_here[1] or told_here[2], at)
        if (m := re.match(r"job: (\S+) cancelled, none", text)) and m[1] in told:
            gone.setdefault(m[1], at)
    longest = max((gone[j] - told[j] for j in gone), default=0.0)
    return led, len(told), longest, len(told) - len(gone)


def gaps(bench, args, site):
    work = work_folder(args)
    first, last = seeds_of(args)
    runs = []
    for name, day in gap_days(site, args.share):
        for seed in range(first, last + 1):
            file = work / f"{site.name}-gap-{name}-{seed}.toml"
            file.write_text(toml_day({**day, "seed": seed}), encoding="utf-8")
            down_at = next(f["at_s"] for f in day["faults"] if f["kind"] == "state_outage")
            runs.append(((name, seed, down_at), file))
    bad, table = 0, {}
    played = Played(bench, args, "debug", work, runs)
    for (name, seed, down_at), file, report in played:
        rules = report["rules_broken"]
        led, told, longest, left = meeting_in((work / (file.stem + ".log")).read_bytes(), AT_S, down_at)
        bad += rules["total"] > 0
        row = table.setdefault(name, [0, 0, 0, 0.0, 0, 0])
        row[0] += 1
        row[1] += led
        row[2] += told > 0
        row[3] = max(row[3], longest)
        row[4] += rules["total"] > 0
        row[5] += left
        if rules["total"]:
            print(f"BROKEN {name} {seed}: {rules['by_kind']} {rules['first'][:2]}", flush=True)
        (work / (file.stem + ".log")).unlink()
    print(f"{site.name}: variant, days, another led before the outage, it told cancellations, longest s until none of "
          f"their tasks was left (of {site.cancel_s:g}), days with a rule broken, jobs whose end was not seen")
    for name, row in table.items():
        print(f"  {name:14} {row[0]:3} {row[1]:3} {row[2]:3} {row[3]:7.1f} {row[4]:3} {row[5]:3}")
    return 3 if played.lost else 1 if bad else 0


def seeds_of(args):
    try:
        first, last = (int(x) for x in args.seeds.split(":"))
    except ValueError:
        fail(f"--seeds {args.seeds}: not FIRST:LAST")
    return first, last


def main():
    parser = argparse.ArgumentParser(prog="meetings.py", description=__doc__.split("\n")[0])
    verbs = parser.add_subparsers(dest="verb", required=True)
    draw = verbs.add_parser("draw")
    draw.add_argument("site")
    draw.add_argument("--seed", type=int, required=True)
    draw.add_argument("--out")
    run, gap, pair = verbs.add_parser("play"), verbs.add_parser("gap"), verbs.add_parser("pairs")
    for verb in (run, gap, pair):
        verb.add_argument("kit")
        verb.add_argument("site")
        verb.add_argument("--seeds", required=True, help="FIRST:LAST, the last one included")
        verb.add_argument("--jobs", type=int, default=8)
        verb.add_argument("--days", help="where days, reports and logs are kept (default: a new folder)")
    for verb in (run, pair):
        verb.add_argument("--log", choices=["error", "info", "debug"])
    for verb in (draw, run, gap, pair):
        verb.add_argument("--share", type=float, default=1.0, help="of the site's machines and jobs, 0.01 to 2")
    args = parser.parse_args()
    if not 0.01 <= args.share <= 2:
        fail(f"--share {args.share}: not between 0.01 and 2")
    site = Site(args.site)
    if args.verb == "draw":
        text = toml_day(drawn(site, args.seed, args.share))
        if not args.out:
            print(text, end="")
            return 0
        try:
            pathlib.Path(args.out).write_text(text, encoding="utf-8")
        except OSError as e:
            fail(f"{args.out}: {e.strerror}")
        return 0
    first, last = seeds_of(args)
    bench = pathlib.Path(args.kit) / "more/hunt/bin/fleetbench"
    if not bench.exists():
        fail(f"no bench at {bench}")
    if args.verb == "gap":
        return gaps(str(bench), args, site)
    work = work_folder(args)
    days = []
    if args.verb == "pairs":
        drawn_days = [(s, {**day, "name": f"{name}-{s}", "seed": s}) for name, day in pair_days(site, args.share)
                      for s in range(first, last + 1)]
    else:
        drawn_days = [(s, drawn(site, s, args.share)) for s in range(first, last + 1)]
    for seed, day in drawn_days:
        file = work / f"{site.name}-{day['name']}.toml"
        file.write_text(toml_day(day), encoding="utf-8")
        days.append((seed, file))
    bad, thin = 0, 0
    played = Played(str(bench), args, args.log, work, days)
    for seed, file, report in played:
        rules = report["rules_broken"]
        served, where = least_served(report)
        wrong = rules["total"] > 0
        thin += served < 0.5
        bad += wrong
        first_broken = "; ".join(str(x) for x in rules["first"][:2])
        told = 'BROKEN ' + json.dumps(rules['by_kind']) + ' ' + first_broken if rules['total'] else 'no rule broken'
        print(f"{seed} {file.stem}: {told}"
              f", least served {served:.2f} ({where})", flush=True)
    print(f"{len(days)} days on {site.name}, {bad} with a rule broken, {thin} with under half of a class or team served, "
          f"{played.lost} not played; files in {work}")
    return 3 if played.lost else 1 if bad else 0


if __name__ == "__main__":
    raise SystemExit(main())
