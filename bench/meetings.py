#!/usr/bin/env python3
"""Generates days with two or three overlapping faults, plays them on the users' bench and reports which rules broke.

    bench/meetings.py draw SITE --seed N [--share X] [--out FILE]
    bench/meetings.py gap KITDIR SITE --seeds FIRST:LAST [--share X] [--jobs N] [--days DIR]
    bench/meetings.py play KITDIR SITE --seeds FIRST:LAST [--share X] [--jobs N] [--days DIR] [--log LEVEL]
    bench/meetings.py pairs KITDIR SITE --seeds FIRST:LAST [--share X] [--jobs N] [--days DIR] [--log LEVEL]

`draw` generates one day from a scenario in SCENARIOS: which faults it has, how far apart they begin (from 0.1 s to longer
than a worker's lease), which controller they hit (the busiest one or a random one), and how many jobs are small, long or
cancelled. Each day ends with a period without faults that is longer than a job may go without an answer. The same seed
and site give the same file. `play` plays generated days and prints one line for each: the seed, the scenario, the broken
rules (a forgotten job breaks one) and the lowest share served of any class or team. `gap` plays variants of a day from the
operators, on which the leader loses the state service shortly before all controllers do; each variant runs with all seeds, and
the logs show on how many days another leader took over in between. `pairs` plays each fault in FAULTS alone and each two of
them at once, on short days of many one-task jobs.

Exit codes: 0 no rule was broken, 1 a rule was broken or a day failed, 2 wrong usage, a wrong site or a wrong day file, 3 the
bench did not end as expected. All figures are of simulated machines. The script leaves the journal entries that the
bench writes as they are; they are to be committed.
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

# The seconds without faults at the end of a day exceed the sum of a worker's lease, the longest cancellation and the 75 s
# after which the bench counts an unanswered job as forgotten.
FAULT_FREE_S = 130.0
MIN_JOBS_FOR_SHARE = 8  # The served share of fewer jobs says little.


def fail(message, code=2):
    print(f"meetings: {message}", file=sys.stderr)
    raise SystemExit(code)


class Site:
    """The fields of a site file that the generated days depend on."""

    def __init__(self, path):
        try:
            with open(path, "rb") as f:
                site = tomllib.load(f)
            self.name = site["name"]
            self.worker_lease_s = float(site["workers"]["lease_s"])
            self.cancel_s = float(site["workers"]["cancel_s"])
            self.controllers = int(site["nodes"]["count"])
            self.zones = list(site["nodes"]["zones"])
            self.jobs = site["jobs"]
            self.resources = {k: site.get(k, []) for k in ("capacity", "machines", "teams")}
            _ = [(j["name"], j["kind"], j["arrivals"]["rate"], j["run_s"]["median"]) for j in self.jobs]
        except (OSError, tomllib.TOMLDecodeError, KeyError, TypeError, ValueError, UnicodeDecodeError) as e:
            fail(f"{path}: not a site file: {type(e).__name__}: {e}")
        if self.worker_lease_s <= 0 or self.controllers < 1 or not self.jobs:
            fail(f"{path}: not a site file: no jobs, no controllers or no lease")


class DayGenerator:
    """Generates the faults of one day. All times are in seconds.

    A scenario method adds its faults from the second `at` on and returns how many seconds they last. The name of a day
    contains the name of its scenario method. The order of random draws determines the day that a seed gives.
    """

    def __init__(self, site, seed):
        self.site, self.random, self.faults = site, random.Random(f"{site.name} {seed}"), []
        self.seed = seed
        self.one_task_jobs = False  # Whether the day has the jobs of one_task_jobs() instead of the site's.
        self.overloaded = False  # Whether jobs arrive faster than the site can run them.

    def uniform(self, low, high):
        return round(self.random.uniform(low, high), 1)

    def offset(self):
        """Returns the seconds between two faults: close to 0, around a leader's lease, or up to more than a worker's lease."""
        return self.random.choice(
            [
                self.uniform(0.1, 1.0),
                self.uniform(1.0, 5.0),
                self.uniform(5.0, 15.0),
                self.uniform(15.0, 1.2 * self.site.worker_lease_s),
            ]
        )

    def add_fault(self, at, kind, **fields):
        self.faults.append({"at_s": round(at, 1), "kind": kind, **fields})

    def pick_controller(self):
        """Returns the fields of a fault that select one controller, in three of four cases the busiest."""
        return {"count": 1, "busiest": self.random.random() < 0.75}

    def add_controller_cut(self, at, for_s, mode=None, **links):
        # Only the state service can refuse a controller; any other link is held or reset.
        modes = ["hold", "reset"] + (["refuse", "refuse"] if set(links) == {"from_state"} else [])
        mode = mode or self.random.choice(modes)
        self.add_fault(at, "node_cut", **self.pick_controller(), **links, mode=mode, for_s=for_s)

    # Scenarios with overlapping faults.

    def gap(self, at):
        """The state service refuses the leader alone, then fails for all for about as long as a cancellation may take."""
        refused_alone_s = self.uniform(1.0, 12.0)
        outage_s = self.uniform(0.7, 1.3) * self.site.cancel_s
        self.add_controller_cut(at, refused_alone_s + self.uniform(5.0, 25.0), self.random.choice(["refuse", "refuse", "hold"]),
                                from_state=True, **({"from_peers": True} if self.random.random() < 0.3 else {}))
        self.add_fault(at + refused_alone_s, "state_outage", for_s=round(outage_s, 1))
        if self.random.random() < 0.4:
            self.random.choice([self.add_crash, self.add_freeze])(at + refused_alone_s + self.offset())
        return refused_alone_s + outage_s

    def hand_over_and_back(self, at):
        """Controllers crash one after another, so that leadership moves back and forth; the links between them may fail next."""
        t = at
        for _ in range(self.random.randint(2, 4)):
            self.add_fault(t, "node_crash", count=self.random.randint(1, self.site.controllers), busiest=True)
            t += self.uniform(0.1, 7.0)
        if self.random.random() < 0.5:
            self.add_fault(t, "peers_refuse", for_s=self.uniform(5.0, 40.0))
            self.add_controller_cut(t + self.offset(), self.uniform(5.0, 40.0), from_workers=True)
        return t - at + 60

    def late_writes(self, at):
        """Transactions get no answer and are carried out late while leaders fail."""
        for_s = self.uniform(20.0, 80.0)
        self.add_fault(at, "late_writes", share=self.random.choice([0.1, 0.3, 0.6, 1.0]), for_s=for_s)
        for _ in range(self.random.randint(1, 3)):
            self.random.choice([self.add_crash, self.add_state_cut, self.add_freeze])(at + self.uniform(0.1, for_s))
        return for_s + 20

    def out_of_reach(self, at):
        """A leader fails while machines are unreachable or do not receive what the next leader sends."""
        for_s = self.uniform(10.0, 1.6 * self.site.worker_lease_s)
        kind = self.random.choice(["machine_deaf", "machine_deaf", "machine_cut", "machine_hang"])
        count = self.random.randint(3, 40)
        extra = {"mode": self.random.choice(["hold", "reset"])} if kind == "machine_cut" else {}
        self.add_fault(at, kind, count=count, for_s=for_s, **extra)
        end = at + self.offset()
        self.random.choice([self.add_crash, self.add_state_cut, self.add_freeze])(end)
        if self.random.random() < 0.5:
            self.add_crash(end + self.offset())
        return max(for_s, end - at + 50)

    def slow_then_gone(self, at):
        """The state service answers slowly, then refuses one controller, then fails for all."""
        slow_s = self.uniform(10.0, 40.0)
        self.add_fault(at, "state_slow", factor=self.random.choice([20.0, 60.0, 120.0, 220.0]), for_s=slow_s)
        self.add_controller_cut(at + self.uniform(0.1, slow_s), self.uniform(4.0, 30.0), "refuse", from_state=True)
        outage_s = self.uniform(5.0, 1.2 * self.site.cancel_s)
        self.add_fault(at + slow_s + self.offset() / 4, "state_outage", for_s=outage_s)
        return slow_s + outage_s + 20

    def late_reports(self, at):
        """Worker reports arrive after newer ones while leaders and sessions change."""
        for_s = self.uniform(40.0, 90.0)
        self.add_fault(at, "late_reports", share=self.random.choice([0.1, 0.4, 1.0]), for_s=for_s)
        for _ in range(self.random.randint(1, 3)):
            self.random.choice([self.add_crash, self.add_state_cut, self.add_machine_fault])(at + self.uniform(0.1, for_s))
        return for_s + self.site.worker_lease_s

    def alone(self, at):
        """One controller loses the state service and its peers but keeps its links to workers and users."""
        for_s = self.uniform(8.0, 1.5 * self.site.cancel_s)
        self.add_controller_cut(at, for_s, from_state=True, from_peers=True)
        for _ in range(self.random.randint(0, 2)):
            add = self.random.choice([self.add_crash, self.add_state_outage, self.add_machine_fault, self.add_freeze])
            add(at + self.offset())
        return max(for_s, 60.0)

    def held_commands(self, at):
        """Commands and responses are held back while the machine continues to run."""
        for_s = self.uniform(2.0, 0.9 * self.site.worker_lease_s)
        self.add_fault(at, "machine_cut", count=self.random.randint(5, 60), mode="hold", for_s=for_s)
        self.random.choice([self.add_crash, self.add_machine_hang, self.add_state_cut])(at + self.uniform(0.1, for_s))
        self.add_controller_cut(at + self.offset(), self.uniform(3.0, 20.0), "hold", from_workers=True)
        return for_s + 50

    def zone_away(self, at):
        """A zone with workers and a controller is cut off for longer than a worker's lease."""
        for_s = self.uniform(1.05, 1.8) * self.site.worker_lease_s
        if len(self.site.zones) > 1:
            self.add_fault(at, "zone_cut", zone=self.random.choice(self.site.zones), mode=self.random.choice(["hold", "reset"]),
                           for_s=round(for_s, 1))
        else:  # On a site with one zone, the fault hits a part of its machines and one controller.
            self.add_fault(at, "machine_cut", share=0.3, mode="hold", for_s=round(for_s, 1))
            self.add_controller_cut(at, round(for_s, 1), "hold", from_state=True, from_peers=True)
        self.random.choice([self.add_crash, self.add_state_cut, self.add_cancellations])(at + self.offset())
        return for_s

    def ten_leaders(self, at):
        """The leader fails ten times within about two minutes, in some days during an outage of the state service."""
        t = at
        for _ in range(10):
            self.random.choice([self.add_single_crash, self.add_single_crash, self.add_freeze])(t)
            t += self.uniform(6.0, 14.0)
        if self.random.random() < 0.5:
            self.add_state_outage(at + self.uniform(20.0, 60.0))
        return t - at

    def kept_reports(self, at):
        """Reports are held back until a new leader has acted, or reach all controllers just as a leader starts."""
        for_s = self.uniform(30.0, 80.0)
        self.add_fault(at, "late_reports", share=self.random.choice([0.2, 0.5, 1.0]), for_s=for_s, for_next=True)
        for _ in range(self.random.randint(1, 3)):
            self.random.choice([self.add_single_crash, self.add_state_cut, self.add_freeze])(at + self.uniform(0.1, for_s))
        return for_s + self.site.worker_lease_s

    def at_the_limit(self, at):
        """Teams are at their limits while the leader changes, machines are unreachable or hang, and users cancel jobs."""
        self.overloaded = True
        self.random.choice([self.add_machine_fault, self.add_mute_machines, self.add_machine_hang])(at)
        self.add_cancellations(at + self.uniform(0.1, 4.0))
        self.add_single_crash(at + self.uniform(0.1, 6.0))
        self.add_cancellations(at + self.uniform(4.0, 15.0))
        return 1.5 * self.site.worker_lease_s

    def up_at_once(self, at):
        """New machines boot within two seconds and get tasks while transactions are answered late and the leader crashes."""
        for_s = self.uniform(40.0, 80.0)
        self.overloaded = True
        self.add_fault(at, "boot_trouble", fail=0.0, factor=0.05, for_s=for_s)
        self.add_late_answers(at)
        for _ in range(self.random.randint(1, 2)):
            self.add_single_crash(at + self.uniform(3.0, for_s))
        return for_s + 20

    def refused_then_gone(self, at):
        """Users cancel jobs when the state service refuses the leader alone; a second later it fails for all controllers."""
        self.add_controller_cut(at, self.uniform(4.0, 20.0), "refuse", from_state=True)
        self.add_fault(at + self.uniform(-0.3, 0.9), "cancel_now", count=self.random.randint(4, 24))
        outage_s = self.uniform(1.02, 1.3) * self.site.cancel_s
        self.add_fault(at + self.uniform(0.8, 1.2), "state_outage", for_s=round(outage_s, 1))
        return outage_s

    def hung_cancelled(self, at):
        """Users cancel jobs whose machines hang and later continue; the leader may change at the same time."""
        for _ in range(self.random.randint(1, 3)):
            self.add_fault(at, "cancel_now", count=self.random.randint(4, 16), hang_s=self.uniform(2.0, 1.3 * self.site.cancel_s))
            if self.random.random() < 0.6:
                self.random.choice([self.add_single_crash, self.add_state_cut, self.add_freeze])(at + self.uniform(-1.0, 3.0))
            at += self.uniform(3.0, 20.0)
        return 1.3 * self.site.cancel_s + 60

    def ends_and_looks(self, at):
        """Users cancel, query or resubmit a job just as its last task ends, and query it on all controllers."""
        for_s = self.uniform(40.0, 90.0)
        self.one_task_jobs = True
        self.add_fault(at, "cancel_at_end", share=self.random.choice([0.3, 0.6, 1.0]), for_s=for_s)
        self.add_fault(at, "close_looks", for_s=for_s)
        if self.random.random() < 0.6:
            self.add_fault(at, "odd_requests", for_s=for_s)
        if self.random.random() < 0.7:
            add = self.random.choice([self.add_late_answers, self.add_single_crash, self.add_state_cut, self.add_freeze,
                                      self.alone, self.add_slow_state, self.add_peer_refusals])
            add(at + self.uniform(1.0, for_s / 2))
        return for_s + 30

    def mute_machines(self, at):
        """Workers cannot open connections to any controller, while commands still reach them."""
        self.add_mute_machines(at)
        self.add_cancellations(at + self.uniform(0.5, 20.0))
        if self.random.random() < 0.6:
            self.random.choice([self.add_single_crash, self.add_state_cut])(at + self.offset())
        return 1.5 * self.site.worker_lease_s + 20

    def all_away(self, at):
        """All controllers are frozen for longer than a worker's lease."""
        for_s = round(self.uniform(1.02, 1.5) * self.site.worker_lease_s, 1)
        self.add_fault(at, "node_freeze", count=self.site.controllers, busiest=True, for_s=for_s)
        if self.random.random() < 0.5:
            self.add_fault(at + for_s + self.uniform(0.1, 3.0), "late_reports", share=0.5, for_s=20.0)
        return for_s

    def hands_change(self, at):
        """Users cancel jobs within seconds of a change of leader."""
        for _ in range(self.random.randint(2, 4)):
            self.random.choice([self.add_single_crash, self.add_state_cut, self.add_freeze, self.alone])(at)
            for _ in range(2):
                self.add_cancellations(at + self.uniform(0.0, 4.0))
            at += self.uniform(8.0, 20.0)
        return 60.0

    # Single faults.

    def add_single_crash(self, at):
        self.add_fault(at, "node_crash", count=1, busiest=True)

    def add_cancellations(self, at):
        self.add_fault(at, "cancel_now", count=self.random.randint(4, 24),
                       **({"hang_s": self.uniform(2.0, self.site.cancel_s)} if self.random.random() < 0.3 else {}))

    def add_mute_machines(self, at):
        self.add_fault(at, "machine_mute", count=self.random.randint(3, 40),
                       for_s=self.uniform(2.0, 1.6 * self.site.worker_lease_s))

    def add_late_answers(self, at):
        self.add_fault(at, "late_writes", share=self.random.choice([0.2, 0.5, 1.0]), for_s=self.uniform(10.0, 50.0),
                       **({"at_once": True} if self.random.random() < 0.7 else {}))

    def add_slow_state(self, at):
        self.add_fault(at, "state_slow", factor=self.random.choice([20.0, 60.0, 120.0]), for_s=self.uniform(10.0, 40.0))

    def add_peer_refusals(self, at):
        self.add_fault(at, "peers_refuse", for_s=self.uniform(5.0, 40.0))

    def add_crash(self, at):
        self.add_fault(at, "node_crash", count=self.random.randint(1, self.site.controllers), busiest=self.random.random() < 0.75)

    def add_freeze(self, at):
        self.add_fault(at, "node_freeze", **self.pick_controller(), for_s=self.uniform(2.0, 30.0))

    def add_state_cut(self, at):
        self.add_controller_cut(at, self.uniform(3.0, 40.0), from_state=True)

    def add_state_outage(self, at):
        self.add_fault(at, "state_outage", for_s=self.uniform(3.0, 1.3 * self.site.cancel_s))

    def add_machine_hang(self, at):
        self.add_fault(at, "machine_hang", count=self.random.randint(3, 40),
                       for_s=self.uniform(2.0, 1.3 * self.site.worker_lease_s))

    def add_machine_fault(self, at):
        kind = self.random.choice(["machine_deaf", "machine_hang", "machine_cut"])
        extra = {"mode": "hold"} if kind == "machine_cut" else {}
        self.add_fault(at, kind, count=self.random.randint(3, 40), for_s=self.uniform(2.0, 1.5 * self.site.worker_lease_s),
                       **extra)


SCENARIOS = [
    DayGenerator.gap,
    DayGenerator.hand_over_and_back,
    DayGenerator.late_writes,
    DayGenerator.out_of_reach,
    DayGenerator.slow_then_gone,
    DayGenerator.late_reports,
    DayGenerator.alone,
    DayGenerator.held_commands,
    DayGenerator.zone_away,
    DayGenerator.ten_leaders,
    DayGenerator.kept_reports,
    DayGenerator.at_the_limit,
    DayGenerator.up_at_once,
    DayGenerator.refused_then_gone,
    DayGenerator.hung_cancelled,
    DayGenerator.ends_and_looks,
    DayGenerator.mute_machines,
    DayGenerator.all_away,
    DayGenerator.hands_change,
]

# The faults that `pairs` plays, each alone and each two at once: the name in the day's name, the fault's kind and fields.
FAULTS = {
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
    "slow": ("state_slow", {"factor": 80.0}),  # Slow answers make the leader batch more changes into each transaction.
}
FAULT_DURATION_S = 40.0
INSTANT_FAULTS = ("cancel_now", "node_crash")  # These have no duration and are repeated instead.


def pair_days(site, share):
    """Yields the name and the day of each fault in FAULTS and of each two of them."""
    names = list(FAULTS)
    for i, first in enumerate(names):
        for second in names[i:]:
            faults = []
            for n, fault in enumerate(dict.fromkeys((first, second))):
                kind, fields = FAULTS[fault]
                times = [60.0, 75.0, 90.0] if kind in INSTANT_FAULTS else [60.0]
                duration = {} if kind in INSTANT_FAULTS else {"for_s": FAULT_DURATION_S}
                faults += [{"at_s": t + 2.0 * n, "kind": kind, **fields, **duration} for t in times]
            name = first if first == second else f"{first}+{second}"
            yield name, {"name": name, "seed": 1, "duration_s": 60 + FAULT_DURATION_S + FAULT_FREE_S, "jobs": one_task_jobs(site),
                         "faults": sorted(faults, key=lambda f: f["at_s"]), **({} if share == 1 else scale_site(site, share))}


def one_task_jobs(site):
    """Returns the job classes with one-task jobs, four a second over all array classes, of which users cancel a quarter."""
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


def scale_site(site, share):
    """Returns the site's machine and team tables scaled by `share`."""
    def smaller(row, *fields):
        return {**row, **{f: type(row[f])(max(1, round(row[f] * share))) for f in fields if row.get(f)}}

    return {
        "capacity": [smaller(c, "count", "spot") for c in site.resources["capacity"]],
        "machines": [smaller(m, "count") for m in site.resources["machines"]],
        "teams": [smaller(t, "cpus", "cpus_max", "gpus", "gpus_max") for t in site.resources["teams"]],
    }


def generate_day(site, seed, share=1.0):
    """Returns the day of this seed: one scenario, in a third of the days a second one that overlaps it."""
    generator = DayGenerator(site, seed)
    first = SCENARIOS[seed % len(SCENARIOS)]
    at = generator.uniform(60.0, 110.0)
    end = at + first(generator, at)
    if generator.random.random() < 0.35:
        second = generator.random.choice(SCENARIOS)
        end = max(end, at + second(generator, at + generator.offset()) + 30)
    jobs = []
    cancelled_share = generator.random.choice([0.1, 0.3, 0.6, 0.8])
    for j in site.jobs:
        job = {"name": j["name"], "cancelled": cancelled_share}
        rate = j["arrivals"]["rate"] * share
        if generator.random.random() < 0.6:
            median = generator.uniform(15.0, 180.0)
            job["run_s"] = {"median": median, "p95": round(median * 1.3, 1), "max": round(median * 1.5, 1)}
            rate *= min(1.0, j["run_s"]["median"] / median)  # Longer jobs arrive less often, so the load stays at the site's.
        if j["kind"] == "array" and generator.random.random() < 0.6:
            job["tasks"] = {"median": 2.0, "p95": 3.0, "max": 3.0}
        job["arrivals"] = {**j["arrivals"], "rate": round(rate, 4)}
        job["initial"] = round(j.get("initial", 0) * rate / j["arrivals"]["rate"])
        jobs.append(job)
    if generator.one_task_jobs:
        jobs = one_task_jobs(site)
    if generator.overloaded:
        for j in jobs:
            j["arrivals"] = {**j["arrivals"], "rate": round(2.5 * j["arrivals"]["rate"], 4)}
    for f in generator.faults:
        end = max(end, f["at_s"] + f.get("for_s", f.get("hang_s", 0.0)))
    day = {
        "name": f"meet-{first.__name__.replace('_', '-')}-{seed}",
        "seed": 7000 + seed,
        "duration_s": round(end + FAULT_FREE_S, 1),
        # In a third of the days crashed controllers restart within a second.
        **({"nodes": {"restart_delay_s": generator.uniform(0.1, 0.9)}} if generator.random.random() < 0.33 else {}),
        "jobs": jobs,
        "faults": sorted(generator.faults, key=lambda f: f["at_s"]),
    }
    return day if share == 1 else {**day, **scale_site(site, share)}


def format_toml_value(value):
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, (int, float)):
        return repr(value)
    if isinstance(value, str):
        return json.dumps(value)
    if isinstance(value, (list, tuple)):
        return "[" + ", ".join(format_toml_value(item) for item in value) + "]"
    return "{ " + ", ".join(f"{key} = {format_toml_value(item)}" for key, item in value.items()) + " }"


def format_day(day):
    lines = []
    for key, value in day.items():
        if isinstance(value, list) and value and isinstance(value[0], dict):
            lines += [f"{key} = ["] + [f"  {format_toml_value(item)}," for item in value] + ["]"]
        else:
            lines.append(f"{key} = {format_toml_value(value)}")
    return "\n".join(lines) + "\n"


def least_served(report):
    """Returns the lowest share served of any class or team, without cancelled jobs, and the name of that class or team.

    Classes and teams with fewer jobs than MIN_JOBS_FOR_SHARE do not count.
    """
    shares = [(1.0, "all")]
    for name, row in report.get("classes", {}).items():
        if (count := row["jobs"] - row["cancelled"]) >= MIN_JOBS_FOR_SHARE:
            shares.append((min(1.0, row["done"] / count), name))
    for name, row in report.get("teams", {}).items():
        if row["jobs"] >= MIN_JOBS_FOR_SHARE:
            shares.append((row["started"] / row["jobs"], "team " + name))
    return min(shares)


def play(bench, site_file, day_file, log_level, work):
    """Plays one day and returns the bench's report, or a dictionary with only `error` if there is none."""
    report = pathlib.Path(work) / (day_file.stem + ".json")
    output = pathlib.Path(work) / (day_file.stem + ".log")
    command = [bench, "run", site_file, str(day_file), "--report", str(report), "--no-cpu"]
    command += ["--why", f"generated day with overlapping faults ({day_file.stem}): no rule may break"]
    if log_level:
        command += ["--log", log_level]
    with open(output, "wb") as f:
        code = subprocess.run(command, stdout=f, stderr=subprocess.STDOUT, check=False).returncode
    if not report.exists():
        return {"error": f"the bench exited with code {code} and wrote no report; its output is in {output}"}
    with open(report, encoding="utf-8") as f:
        return json.load(f)


class PlayedDays:
    """Plays `days`, pairs of a label and a day file, several at once.

    Iterates over label, file and report of the days that have a report, in the order of `days`. Prints an error line for each
    other day and counts it in `failed`.
    """

    def __init__(self, bench, args, log_level, work, days):
        self.bench, self.args, self.log_level, self.work, self.days, self.failed = bench, args, log_level, work, days, 0

    def __iter__(self):
        with concurrent.futures.ThreadPoolExecutor(max_workers=max(1, self.args.jobs)) as pool:
            reports = pool.map(
                lambda day: play(self.bench, self.args.site, day[1], self.log_level, str(self.work)), self.days)
            for (label, file), report in zip(self.days, reports):
                if "error" in report:
                    print(f"{label} {file.stem}: {report['error']}", flush=True)
                    self.failed += 1
                else:
                    yield label, file, report


def make_work_folder(args):
    work = pathlib.Path(args.days or tempfile.mkdtemp(prefix="meetings-"))
    work.mkdir(parents=True, exist_ok=True)
    return work


# Variants of a day that the operators saw: the state service refuses the leader alone, then fails for all controllers.

CUT_AT_S = 70.0  # When the leader loses the state service.
REFUSAL_S = 14.0  # For how long the state service refuses the leader.
SMALL_JOB_FACTOR = 6  # How many small jobs replace one of the site's.


def gap_days(site, share):
    """Yields the name and the day of each variant. The outage lasts longer than a cancellation may take."""
    outage_s = round(1.16 * site.cancel_s, 1)
    array = next((j for j in site.jobs if j["kind"] == "array"), site.jobs[0])
    jobs = []
    for j in site.jobs:
        # The class that users cancel has many small jobs instead of a few large ones, so that some are cancelled each second.
        factor = SMALL_JOB_FACTOR if j is array else 1
        jobs.append({"name": j["name"], "arrivals": {**j["arrivals"], "rate": round(j["arrivals"]["rate"] * share * factor, 4)},
                     "initial": round(j.get("initial", 0) * share * factor)})
        if j is array:
            jobs[-1].update(cancelled=0.8, run_s={"median": 180.0, "p95": 225.0, "max": 255.0},
                            tasks={"median": 2.0, "p95": 3.0, "max": 3.0})

    def day(name, after, mode="refuse", extra_faults=(), for_s=REFUSAL_S, **links):
        cut = {"at_s": CUT_AT_S, "kind": "node_cut", "count": 1, "busiest": True, "from_state": True, **links, "mode": mode,
               "for_s": for_s}
        faults = [cut, {"at_s": CUT_AT_S + after, "kind": "state_outage", "for_s": outage_s}, *extra_faults]
        return name, {"name": name, "seed": 1, "duration_s": CUT_AT_S + after + outage_s + FAULT_FREE_S, "jobs": jobs,
                      "faults": sorted(faults, key=lambda f: f["at_s"]), **({} if share == 1 else scale_site(site, share))}

    for after in (1.0, 3.0, 4.5, 6.0, 9.0, 12.0):
        yield day(f"after-{after:g}", after)
    yield day("hold", 6.0, "hold")
    yield day("alone", 6.0, "reset", from_peers=True)
    yield day("alone-long", 6.0, "hold", for_s=outage_s + 20, from_peers=True)
    yield day("next-crashes", 7.0, extra_faults=[{"at_s": CUT_AT_S + 6.5, "kind": "node_crash", "count": 2, "busiest": True}])
    yield day("next-freezes", 7.0,
              extra_faults=[{"at_s": CUT_AT_S + 6.5, "kind": "node_freeze", "count": 2, "busiest": True, "for_s": 25.0}])
    yield day("late", 6.0, extra_faults=[{"at_s": CUT_AT_S - 5, "kind": "late_writes", "share": 0.4, "for_s": 60.0},
                                         {"at_s": CUT_AT_S - 5, "kind": "late_reports", "share": 0.4, "for_s": 90.0}])
    yield day("deaf", 6.0, extra_faults=[{"at_s": CUT_AT_S, "kind": "machine_deaf", "count": 12, "for_s": 90.0}])


LOG_LINE = re.compile(r"^ *([0-9.]+) (\S+) \S+ \w+ (.*)$")  # Time in seconds, controller, message.


def analyze_gap_log(log, cut_at, outage_at):
    """Returns what the log of a `gap` day shows, as four values.

    They are: whether the leader was cut off and another controller led before the outage; how many jobs that leader or a
    standby controller then confirmed as cancelled; the longest time in seconds from such a confirmation until a leader logged
    that no task of the job was left; and for how many of these jobs no leader logged that.
    """
    leader, cut_controller, another_led, confirmed_at, finished_at = None, None, False, {}, {}
    for raw in log.decode("utf-8", "replace").splitlines():
        if m := re.match(r" +at ([0-9.]+) s: .*?(millstone-\d+)", raw):
            if cut_controller is None and abs(float(m[1]) - cut_at) < 2:
                cut_controller = m[2]
        if m := re.match(r" +at ([0-9.]+) s: the state service has trouble", raw):
            outage_at = float(m[1])
    leader_at_cut = None
    for raw in log.decode("utf-8", "replace").splitlines():
        m = LOG_LINE.match(raw)
        if not m:
            continue
        at, controller, text = float(m[1]), m[2], m[3]
        if text.startswith("election: won"):
            another_led = another_led or (leader_at_cut == cut_controller and controller != cut_controller
                                          and cut_at <= at < outage_at)
            leader = controller
        if leader_at_cut is None and at >= cut_at - 0.5:
            leader_at_cut = leader
        confirmation = re.match(r"(?:job: (\S+) cancellation recorded|standby: (\S+) reported as cancelled)", text)
        if confirmation and another_led and controller != cut_controller and at < outage_at:
            confirmed_at.setdefault(confirmation[1] or confirmation[2], at)
        if (m := re.match(r"job: (\S+) cancelled, none", text)) and m[1] in confirmed_at:
            finished_at.setdefault(m[1], at)
    longest = max((finished_at[job] - confirmed_at[job] for job in finished_at), default=0.0)
    return another_led, len(confirmed_at), longest, len(confirmed_at) - len(finished_at)


def play_gap_days(bench, args, site):
    """Plays the `gap` variants with all seeds, prints a table of the outcomes and returns the exit code."""
    work = make_work_folder(args)
    first, last = parse_seeds(args)
    days = []
    for name, day in gap_days(site, args.share):
        for seed in range(first, last + 1):
            file = work / f"{site.name}-gap-{name}-{seed}.toml"
            file.write_text(format_day({**day, "seed": seed}), encoding="utf-8")
            outage_at = next(f["at_s"] for f in day["faults"] if f["kind"] == "state_outage")
            days.append(((name, seed, outage_at), file))
    broken_days, table = 0, {}
    played = PlayedDays(bench, args, "debug", work, days)
    for (name, seed, outage_at), file, report in played:
        rules = report["rules_broken"]
        another_led, confirmed, longest, unfinished = analyze_gap_log(
            (work / (file.stem + ".log")).read_bytes(), CUT_AT_S, outage_at)
        broken_days += rules["total"] > 0
        row = table.setdefault(name, [0, 0, 0, 0.0, 0, 0])
        row[0] += 1
        row[1] += another_led
        row[2] += confirmed > 0
        row[3] = max(row[3], longest)
        row[4] += rules["total"] > 0
        row[5] += unfinished
        if rules["total"]:
            print(f"BROKEN {name} {seed}: {rules['by_kind']} {rules['first'][:2]}", flush=True)
        (work / (file.stem + ".log")).unlink()
    print(f"{site.name}: variant, days, days with another leader before the outage, days on which it confirmed cancellations, "
          f"longest s until none of their tasks was left (of {site.cancel_s:g}), days with a rule broken, "
          f"jobs whose end was not seen")
    for name, row in table.items():
        print(f"  {name:14} {row[0]:3} {row[1]:3} {row[2]:3} {row[3]:7.1f} {row[4]:3} {row[5]:3}")
    return 3 if played.failed else 1 if broken_days else 0


def parse_seeds(args):
    """Returns the first and the last seed, both included."""
    try:
        first, last = (int(x) for x in args.seeds.split(":"))
    except ValueError:
        fail(f"--seeds {args.seeds}: not FIRST:LAST")
    return first, last


def main():
    parser = argparse.ArgumentParser(prog="meetings.py", description=__doc__.split("\n")[0])
    commands = parser.add_subparsers(dest="command", required=True)
    draw = commands.add_parser("draw")
    draw.add_argument("site")
    draw.add_argument("--seed", type=int, required=True)
    draw.add_argument("--out")
    run, gap, pairs = commands.add_parser("play"), commands.add_parser("gap"), commands.add_parser("pairs")
    for command in (run, gap, pairs):
        command.add_argument("kit")
        command.add_argument("site")
        command.add_argument("--seeds", required=True, help="FIRST:LAST, the last one included")
        command.add_argument("--jobs", type=int, default=8)
        command.add_argument("--days", help="folder for days, reports and logs (default: a new one)")
    for command in (run, pairs):
        command.add_argument("--log", choices=["error", "info", "debug"])
    for command in (draw, run, gap, pairs):
        command.add_argument("--share", type=float, default=1.0, help="share of the site's machines and jobs, from 0.01 to 2")
    args = parser.parse_args()
    if not 0.01 <= args.share <= 2:
        fail(f"--share {args.share}: not between 0.01 and 2")
    site = Site(args.site)
    if args.command == "draw":
        text = format_day(generate_day(site, args.seed, args.share))
        if not args.out:
            print(text, end="")
            return 0
        try:
            pathlib.Path(args.out).write_text(text, encoding="utf-8")
        except OSError as e:
            fail(f"{args.out}: {e.strerror}")
        return 0
    first, last = parse_seeds(args)
    bench = pathlib.Path(args.kit) / "more/hunt/bin/fleetbench"
    if not bench.exists():
        fail(f"no bench at {bench}")
    if args.command == "gap":
        return play_gap_days(str(bench), args, site)
    work = make_work_folder(args)
    days = []
    if args.command == "pairs":
        generated_days = [(seed, {**day, "name": f"{name}-{seed}", "seed": seed}) for name, day in pair_days(site, args.share)
                          for seed in range(first, last + 1)]
    else:
        generated_days = [(seed, generate_day(site, seed, args.share)) for seed in range(first, last + 1)]
    for seed, day in generated_days:
        file = work / f"{site.name}-{day['name']}.toml"
        file.write_text(format_day(day), encoding="utf-8")
        days.append((seed, file))
    broken_days, underserved_days = 0, 0
    played = PlayedDays(str(bench), args, args.log, work, days)
    for seed, file, report in played:
        rules = report["rules_broken"]
        served, name = least_served(report)
        underserved_days += served < 0.5
        broken_days += rules["total"] > 0
        first_broken = "; ".join(str(rule) for rule in rules["first"][:2])
        result = "BROKEN " + json.dumps(rules["by_kind"]) + " " + first_broken if rules["total"] else "no rule broken"
        print(f"{seed} {file.stem}: {result}, least served {served:.2f} ({name})", flush=True)
    print(f"{len(days)} days on {site.name}, {broken_days} with a rule broken, {underserved_days} with under half of a class or "
          f"team served, {played.failed} not played; files in {work}")
    return 3 if played.failed else 1 if broken_days else 0


if __name__ == "__main__":
    raise SystemExit(main())
