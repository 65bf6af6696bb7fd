#!/usr/bin/env python3
"""Prints where a day of the users' bench lost worth, and an upper bound.

Input: the report that the bench writes with --report, and the site file of the
deployment, both read as they are. The bound is what a system could earn that
knows everything: each request of an outage reaches it with the client's first
packet after the restart, targets serve at their cold speed, and no request is
lost but those that the targets cannot finish within the client's time limit.
Each part of the bound has its own schedule, the best one for it: what raises
the worth of one window may lower that of another, and requests that are late
already count for the share served at all as much as those in time.

Not modelled: flows that the clients keep open count like new ones, load
outside the outage earns what the calm windows of the same day earn, requests
that run when the power fails count as served, and targets of uneven speed
count as equal ones. Exit code 1: a bound is below what was earned, so that one
of these assumptions does not hold.
"""

import argparse
import json
import math
import statistics
import sys
import tomllib

BIN_S = 0.01  # resolution of the model
WINDOW_S = 2.0  # of the report
COPIES_S = (0.0, 0.2, 0.6)  # after a SYN; the attempt ends at ATTEMPT_S
ATTEMPT_S = 1.4
RESTART_S = 0.15  # from power to the first packets forwarded
CALM_WORTH = 0.98  # a window above it counts as calm
COLD_S = 2.0  # from the restart until targets serve at their full speed
WORST_WINDOWS = 2  # of the goal's part
ROUNDING = 0.001  # of the values in a report


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


def slots_of(site, service):
    targets = sum(m["count"] for m in site["machines"] if m.get("app") == service["name"])
    return targets * service["slots"]


class Request:
    """Requests of one kind that clients ask for within one bin."""

    def __init__(self, kind, asked, packet, amount):
        self.kind, self.asked, self.packet, self.amount = kind, asked, packet, amount
        self.window = int(asked // WINDOW_S)
        self.work = kind["work_ms"]["mean"] / 1000
        self.deadline = asked + kind["deadline_ms"] / 1000

    def worth(self, now):
        """Returns the worth of one request that a target starts now."""
        in_time = now + self.work <= self.asked + self.kind["aim_ms"] / 1000
        return self.kind["worth"] if in_time else self.kind["late_worth"]


def by_worth(favoured):
    """Order with the highest worth of the favoured windows; None: of all."""

    def order(request, now):
        others = favoured is not None and request.window not in favoured
        return others, -request.worth(now) / request.work, request.deadline

    return order


def by_deadline(request, _):
    """Order with the fewest requests lost."""
    return request.deadline


def requests_of_outage(kinds, outage, rate_of):
    """Returns what is asked for until two windows after the restart."""
    start, end = outage
    steps = int((end + 2 * WINDOW_S - start) / BIN_S)
    times = [start + i * BIN_S for i in range(steps)]
    return [
        Request(k, t, t if t >= end else first_packet_after(t, end), rate_of(k["name"], t) * BIN_S)
        for k in kinds
        for t in times
    ]


def serve(pending, slots, cold_x, end, order):
    """Serves requests from `end` on, and returns the worth earned by window and
    the number of requests lost. A request counts in the window that asked."""
    earned, lost, now = {}, 0, end
    while pending:
        budget = slots * BIN_S  # seconds of slots
        slowness = cold_x if now < end + COLD_S else 1
        ready = [r for r in pending if r.packet <= now <= r.deadline]
        for each in sorted(ready, key=lambda r: order(r, now)):
            taken = min(each.amount, budget / (each.work * slowness))
            budget -= taken * each.work * slowness
            each.amount -= taken
            earned[each.window] = earned.get(each.window, 0) + taken * each.worth(now)
            if budget <= 1e-12:
                break
        lost += sum(r.amount for r in pending if now > r.deadline)
        pending = [r for r in pending if r.amount > 1e-9 and now <= r.deadline]
        now += BIN_S
    return earned, lost


def bound_of_outage(site, outage, rate_of, order):
    """Returns the share of the owed worth that is earned by window, for requests
    asked from the outage on, and the number of requests lost."""
    earned, owed, lost = {}, {}, 0
    for service in site["services"]:
        kinds = [k for k in site["classes"] if k["service"] == service["name"]]
        pending = requests_of_outage(kinds, outage, rate_of)
        for each in pending:
            owed[each.window] = owed.get(each.window, 0) + each.amount * each.kind["worth"]
        served, missed = serve(
            pending, slots_of(site, service), service["cold_x"], outage[1], order
        )
        lost += missed
        for window, amount in served.items():
            earned[window] = earned.get(window, 0) + amount
    return {i: earned.get(i, 0) / amount for i, amount in owed.items() if amount > 0}, lost


def value_of_nines(unserved, best):
    """Returns the value of the share that is not served at all, on a log scale."""
    return 1.0 if unserved <= best else math.log(unserved) / math.log(best)


class Bounds:
    """Upper bounds of the parts of a day's worth, and of its windows."""

    def __init__(self, site, site_day, report):
        self.windows = {int(float(w["name"]) // WINDOW_S): w for w in report["windows"]}
        self.calm = [w["worth"] for w in self.windows.values() if w["worth"] >= CALM_WORTH]
        self.calm = self.calm or [CALM_WORTH]
        self.outage = outage_of(site_day, report)
        self.site = site
        self.total = sum(c["n"] for c in report["classes"])
        self.share = {c["name"]: c["n"] / self.total for c in report["classes"]}
        self.goal = site["goal"]
        self.prices = sum(p[2] for p in report["prices"])

    def rate(self, kind, asked):
        window = self.windows.get(int(asked // WINDOW_S))
        return self.share.get(kind, 0) * window["n"] / WINDOW_S if window else 0

    def by_window(self, order):
        """Returns the windows' worth in this order, and the requests lost."""
        best = {i: max(w["worth"], statistics.mean(self.calm)) for i, w in self.windows.items()}
        if not self.outage:
            return best, 0
        shares, lost = bound_of_outage(self.site, self.outage, self.rate, order)
        for i, share in shares.items():
            if i not in best:
                continue
            # The part of the window before the outage earns as in calm times.
            hit = min(1.0, (i + 1) - self.outage[0] / WINDOW_S)
            best[i] = max(self.calm) * (1 - hit + hit * share)
        return best, lost

    def of_window(self, i):
        return self.by_window(by_worth({i}))[0][i]

    def parts(self):
        """Returns the bounds by the parts' names in a report."""
        best, _ = self.by_window(by_worth(None))
        n = sum(w["n"] for w in self.windows.values())
        whole = sum(best[i] * w["n"] for i, w in self.windows.items()) / n
        worst = sorted(best, key=best.get)[:WORST_WINDOWS]
        favoured, _ = self.by_window(by_worth(set(worst)))
        parts = {
            "whole day": whole,
            "worst windows": statistics.mean(favoured[i] for i in worst),
            "worst class": whole,
        }
        if self.goal.get("nines", 0) > 0:
            _, lost = self.by_window(by_deadline)
            parts["nines"] = value_of_nines(lost / self.total, self.goal["nines_best"])
        return parts

    def worth(self, parts):
        names = {"mean": "whole day", "window": "worst windows", "class": "worst class", "nines": "nines"}
        return sum(self.goal.get(k, 0) * parts.get(v, 0) for k, v in names.items()) - self.prices


def below_earned(bounds, earned):
    """Returns a message for each bound that is below what was earned."""
    return [
        f"the bound of {name}, {bound:.3f}, is below what was earned, {earned[name]:.3f}"
        for name, bound in bounds.items()
        if name in earned and bound < earned[name] - ROUNDING
    ]


def main():
    arguments = parse_arguments()
    with open(arguments.site, "rb") as file:
        site = tomllib.load(file)
    with open(arguments.report, encoding="utf-8") as file:
        report = json.load(file)
    site_day = next((d for d in site["day"] if d["name"] == arguments.day), None)
    if site_day is None:
        sys.exit(f"{arguments.site} has no day {arguments.day}; name one of its days")
    bounds = Bounds(site, site_day, report)
    parts = bounds.parts()
    earned = {name: value for name, _, value in report["parts"]}
    names = list(parts)
    print(f"| {arguments.day} | worth | {' | '.join(names)} |")
    print("| --- " * (len(names) + 2) + "|")
    limits = {"worth": bounds.worth(parts), **parts}
    earned = {"worth": report["G"], **earned}
    for row, values in (("earned", earned), ("upper bound", limits)):
        print(f"| {row} | " + " | ".join(f"{values[name]:.3f}" for name in limits) + " |")
    print("\n| asked from second | requests | late | failed | worth | bound |\n| --- | --- | --- | --- | --- | --- |")
    for i, w in bounds.windows.items():
        if w["worth"] < CALM_WORTH:
            name = f"window {w['name']}"
            earned[name], limits[name] = w["worth"], bounds.of_window(i)
            print(f"| {w['name']} | {w['n']} | {w['late']} | {w['failed']} | {w['worth']:.3f} | {limits[name]:.3f} |")
    print("\n| kind | requests | late | failed | worth |\n| --- | --- | --- | --- | --- |")
    for c in report["classes"]:
        print(f"| {c['name']} | {c['n']} | {c['late']} | {c['failed']} | {c['worth']:.3f} |")
    print("\n| reason | amount |\n| --- | --- |")
    for reason, count, _ in report["unserved_by"]:
        print(f"| last try: {reason} | {count} requests |")
    for name, _, value in report["prices"]:
        if value >= 0.0005:
            print(f"| price: {name} | {value:.4f} |")
    wrong = below_earned(limits, earned)
    if wrong:
        sys.exit("\n".join(wrong))


if __name__ == "__main__":
    main()
