#!/usr/bin/env python3
"""Prints an upper bound on the share of each class's jobs that any scheduling order can serve on a day.

    bench/served_bound.py SITE.toml REPORT.json

SITE is a site file, REPORT the bench's report of a day on this site (`run SITE DAY --report`). For the bound, a class has
every machine that its tasks fit on for the whole day, up to the limits of its teams, without boot times, image fetches,
failures or jobs of other classes, and its smallest jobs run first. Sizes and run times are drawn with a fixed seed from the
distributions in the site file, for as many jobs as the day had. No scheduler can serve more than the bound.
"""
import argparse
import json
import math
import random
import tomllib


def sample(spec, rng):
    """Returns a value drawn from a distribution of the site file: listed sizes, or log-normal from median and p95."""
    if "sizes" in spec:
        return rng.choices(spec["sizes"], spec.get("weights"))[0]
    sigma = math.log(spec["p95"] / spec["median"]) / 1.645
    return min(spec.get("max", math.inf), spec["median"] * math.exp(rng.gauss(0, sigma)))


def max_parallel_tasks(job, site):
    """Returns how many tasks of a class can run at once if it has every machine up to the limits of its teams."""
    gpu = job.get("gpus", 0) > 0
    demand = job["gpus"] if gpu else job["cpus"]
    tasks_on_machines = 0
    for capacity in site["capacity"]:
        machine_type = next(t for t in site["machine_types"] if t["name"] == capacity["type"])
        fits = min(machine_type["cpus"] // job["cpus"], machine_type["memory_gb"] // job["memory_gb"])
        if gpu:
            fits = min(fits, machine_type.get("gpus", 0) // job["gpus"])
        # A site file may count spot machines in addition to the others or among them; adding them keeps this an upper bound.
        tasks_on_machines += fits * (capacity["count"] + (capacity.get("spot", 0) if job.get("spot") else 0))
    teams = [t for t in site.get("teams", []) if t["name"] in job.get("teams", [t["name"]])]
    limits = [t.get("gpus_max" if gpu else "cpus_max", 0) for t in teams]
    limit = sum(limits) // demand if limits and all(limits) else math.inf
    return min(tasks_on_machines, limit)


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("site")
    parser.add_argument("report")
    args = parser.parse_args()
    with open(args.site, "rb") as f:
        site = tomllib.load(f)
    with open(args.report, encoding="utf-8") as f:
        report = json.load(f)
    rng = random.Random(1)
    for job in site["jobs"]:
        reported = report["classes"].get(job["name"])
        if not reported:
            continue
        count = reported["jobs"] - reported["cancelled"]
        task_seconds = []
        for _ in range(count):
            run_s = sample(job["run_s"], rng)
            task_seconds.append(max(1, round(sample(job["tasks"], rng))) * run_s)
        task_seconds.sort()
        remaining_s, served = max_parallel_tasks(job, site) * report["ends_s"], 0
        for needed_s in task_seconds:
            remaining_s -= needed_s
            if remaining_s < 0:
                break
            served += 1
        print(f"{job['name']}: served {reported['done'] / max(1, count):.3f} of {count}, bound {served / max(1, count):.3f}")


if __name__ == "__main__":
    main()
