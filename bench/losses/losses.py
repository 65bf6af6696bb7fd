#!/usr/bin/env python3
"""Prints where a day of the users' bench lost worth, and an upper bound.

Input: the report that the bench writes with --report, and the site file of the
deployment, both read as they are. The bound is what a system could earn that
knows everything: no request is lost but those that run when the power fails,
each request of the outage is served at the client's first packet after the
restart, and targets serve at their cold speed, requests in time first.

Not modelled: flows that the clients keep open count like new ones, and load
outside the outage earns what the calm windows of the same day earn.
"""

import argparse
import json
import statistics
import sys
import tomllib

BIN_S = 0.01  # resolution of the model
WINDOW_S = 2.0  # of the report
COPIES_S = (0.0, 0.2, 0.6)  # after a SYN; the attempt ends at ATTEMPT_S
ATTEMPT_S = 1.4
RESTART_S = 0.15  # from power to the first packets forwarded
CALM_WORTH = 0.98  # a window above it counts as calm


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("site", help="site file (TOML)")
    parser.add_argument("day", help="name of the day in it")
    parser.add_argument("report", help="report of the day (JSON)")
    return parser.parse_args()


def first_packet_after(asked, restart):
    """Returns when the first packet of a request asked at `asked` arrives after
    `restart`, by the client's schedule of copies and attempts."""
    attempt = asked
    while True:
        for copy in COPIES_S:
            if attempt + copy >= restart:
                return attempt + copy
        attempt += ATTEMPT_S


def outage_of(site_day, report):
    """Returns start and end of a closing loss of power, or None."""
    closing = site_day.get("closing")
    if not closing or closing["kind"] != "power_off_all":
        return None  # targets outlive other faults, which the model does not cover
    start = next(e["at_s"] for e in report["events"] if e["kind"].startswith("closing"))
    return start, start + closing["down_s"] + RESTART_S


def capacity_per_bin(site, kind, cold):
    """Requests of the kind's service that its targets finish in one bin."""
    service = next(s for s in site["services"] if s["name"] == kind["service"])
    targets = sum(m["count"] for m in site["machines"] if m.get("app") == service["name"])
    work_s = statistics.mean(
        k["work_ms"]["mean"] for k in site["classes"] if k["service"] == service["name"]
    ) / 1000
    return BIN_S * targets * service["slots"] / (work_s * (service["cold_x"] if cold else 1))


def bound_of_outage(site, outage, rate_of):
    """Returns the worth and the owed worth by window for requests asked from one
    window before the outage until all that it held up are served."""
    start, end = outage
    earned, owed = {}, {}
    for service in {k["service"] for k in site["classes"]}:
        kinds = [k for k in site["classes"] if k["service"] == service]
        pending = []  # (time of the first packet, time asked, weight, kind)
        for kind in kinds:
            asked = start
            while asked < end + 2 * WINDOW_S:
                weight = rate_of(kind["name"], asked) * BIN_S
                packet = asked if asked >= end else first_packet_after(asked, end)
                pending.append([packet, asked, weight, kind])
                window = int(asked // WINDOW_S)
                owed[window] = owed.get(window, 0) + weight * kind["worth"]
                asked += BIN_S
        now = end
        while pending and now < end + 8:
            budget = capacity_per_bin(site, kinds[0], now < end + 2)
            ready = [p for p in pending if p[0] <= now]
            in_time = lambda p: now - p[1] + p[3]["work_ms"]["mean"] / 1000 <= p[3]["aim_ms"] / 1000
            for each in sorted(ready, key=lambda p: (not in_time(p), p[1])):
                taken = min(each[2], budget)
                budget -= taken
                each[2] -= taken
                kind, age = each[3], now - each[1]
                worth = kind["worth"] if in_time(each) else kind["late_worth"]
                if age > kind["deadline_ms"] / 1000:
                    worth = 0
                window = int(each[1] // WINDOW_S)
                earned[window] = earned.get(window, 0) + taken * worth
                if budget <= 0:
                    break
            pending = [p for p in pending if p[2] > 1e-9]
            now += BIN_S
    return earned, owed


def upper_bound(site, site_day, report):
    """Returns the bound of the day's worth, and of its parts."""
    windows = {int(float(w["name"]) // WINDOW_S): w for w in report["windows"]}
    calm = statistics.mean(
        [w["worth"] for w in windows.values() if w["worth"] >= CALM_WORTH] or [CALM_WORTH]
    )
    best = {i: max(w["worth"], calm) for i, w in windows.items()}
    outage = outage_of(site_day, report)
    if outage:
        total = sum(c["n"] for c in report["classes"])
        share = {c["name"]: c["n"] / total for c in report["classes"]}

        def rate_of(kind, asked):
            window = windows.get(int(asked // WINDOW_S))
            return share.get(kind, 0) * window["n"] / WINDOW_S if window else 0

        earned, owed = bound_of_outage(site, outage, rate_of)
        for i, amount in owed.items():
            if i not in windows or amount <= 0:
                continue
            # The part of the window before the outage earns as in calm times.
            hit = min(1.0, ((i + 1) * WINDOW_S - max(outage[0], i * WINDOW_S)) / WINDOW_S)
            best[i] = calm * (1 - hit) + calm * hit * earned.get(i, 0) / amount
    n = sum(w["n"] for w in windows.values())
    whole = sum(best[i] * w["n"] for i, w in windows.items()) / n
    worst = statistics.mean(sorted(best.values())[:2])
    prices = sum(p[2] for p in report["prices"])
    goal = site["goal"]
    worth = goal["mean"] * whole + goal["window"] * worst + goal["class"] * whole - prices
    return worth, whole, worst, best


def main():
    arguments = parse_arguments()
    with open(arguments.site, "rb") as file:
        site = tomllib.load(file)
    with open(arguments.report, encoding="utf-8") as file:
        report = json.load(file)
    site_day = next((d for d in site["day"] if d["name"] == arguments.day), None)
    if site_day is None:
        sys.exit(f"{arguments.site} has no day {arguments.day}; name one of its days")
    worth, whole, worst, best = upper_bound(site, site_day, report)
    print(f"| {arguments.day} | worth | whole day | worst windows |")
    print("| --- | --- | --- | --- |")
    parts = {name: value for name, _, value in report["parts"]}
    print(f"| earned | {report['G']:.3f} | {parts['whole day']:.3f} | {parts['worst windows']:.3f} |")
    print(f"| upper bound | {worth:.3f} | {whole:.3f} | {worst:.3f} |")
    print("\n| asked from second | requests | late | failed | worth | bound |\n| --- | --- | --- | --- | --- | --- |")
    for w in report["windows"]:
        if w["worth"] < CALM_WORTH:
            bound = best[int(float(w["name"]) // WINDOW_S)]
            print(f"| {w['name']} | {w['n']} | {w['late']} | {w['failed']} | {w['worth']:.3f} | {bound:.3f} |")
    print("\n| kind | requests | late | failed | worth |\n| --- | --- | --- | --- | --- |")
    for c in report["classes"]:
        print(f"| {c['name']} | {c['n']} | {c['late']} | {c['failed']} | {c['worth']:.3f} |")
    print("\n| reason | amount |\n| --- | --- |")
    for reason, count, _ in report["unserved_by"]:
        print(f"| last try: {reason} | {count} requests |")
    for name, _, value in report["prices"]:
        if value >= 0.0005:
            print(f"| price: {name} | {value:.4f} |")


if __name__ == "__main__":
    main()
