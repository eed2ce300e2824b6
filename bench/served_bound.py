#!/usr/bin/env python3
"""An upper bound on the share of each class's jobs that any order could serve on a day.

    bench/served_bound.py SITE.toml REPORT.json

SITE is a site file, REPORT what the bench wrote for a day of it (`run SITE DAY --report`). The bound gives a class every
machine that its tasks fit, from the first second to the last, without boots, image fetches, failures or other classes,
up to its teams' limits, and serves the smallest jobs first. Sizes and run times are drawn from the site file's
distributions (a fixed seed), as many as the day had jobs. What a scheduler serves lies below it.
"""
import argparse
import json
import math
import random
import tomllib


def drawn(spec, rng):
    if "sizes" in spec:
        return rng.choices(spec["sizes"], spec.get("weights"))[0]
    sigma = math.log(spec["p95"] / spec["median"]) / 1.645
    return min(spec.get("max", math.inf), spec["median"] * math.exp(rng.gauss(0, sigma)))


def slots(job, site):
    """Tasks of the job that run at once when it has all it may have."""
    gpu = job.get("gpus", 0) > 0
    each = job["gpus"] if gpu else job["cpus"]
    machines = 0
    for c in site["capacity"]:
        t = next(t for t in site["machine_types"] if t["name"] == c["type"])
        fits = min(t["cpus"] // job["cpus"], t["memory_gb"] // job["memory_gb"])
        if gpu:
            fits = min(fits, t.get("gpus", 0) // job["gpus"])
        # Spot machines come beside the others, or in their place: the larger reading keeps the bound a bound.
        machines += fits * (c["count"] + (c.get("spot", 0) if job.get("spot") else 0))
    teams = [t for t in site.get("teams", []) if t["name"] in job.get("teams", [t["name"]])]
    limits = [t.get("gpus_max" if gpu else "cpus_max", 0) for t in teams]
    limit = sum(limits) // each if limits and all(limits) else math.inf
    return min(machines, limit)


def main():
    args = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    args.add_argument("site")
    args.add_argument("report")
    args = args.parse_args()
    with open(args.site, "rb") as f:
        site = tomllib.load(f)
    with open(args.report, encoding="utf-8") as f:
        report = json.load(f)
    rng = random.Random(1)
    for job in site["jobs"]:
        told = report["classes"].get(job["name"])
        if not told:
            continue
        count = told["jobs"] - told["cancelled"]
        work = []
        for _ in range(count):
            run = drawn(job["run_s"], rng)
            work.append(max(1, round(drawn(job["tasks"], rng))) * run)
        work.sort()
        left, served = slots(job, site) * report["ends_s"], 0
        for w in work:
            left -= w
            if left < 0:
                break
            served += 1
        print(f"{job['name']}: served {told['done'] / max(1, count):.3f} of {count}, bound {served / max(1, count):.3f}")


if __name__ == "__main__":
    main()
