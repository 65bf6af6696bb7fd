#!/usr/bin/env python3
"""Draws the plots of docs/MEASUREMENTS.md from the journal and recovery.json.

Run it in the repository's root; it needs Python's standard library only.
"""
import glob
import json

WIDTH, HEIGHT, MARGIN = 860, 300, 46
COLORS = {"first": "#9a9a9a", "last": "#1f5fa8"}


def text(x, y, words, anchor="middle", size=11):
    return (f'<text x="{x:.1f}" y="{y:.1f}" font-size="{size}" '
            f'font-family="sans-serif" text-anchor="{anchor}">{words}</text>')


def write(path, title, parts):
    head = (f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" '
            f'height="{HEIGHT}" viewBox="0 0 {WIDTH} {HEIGHT}">'
            f'<rect width="{WIDTH}" height="{HEIGHT}" fill="white"/>')
    with open(path, "w", encoding="utf-8") as out:
        out.write(head + text(WIDTH / 2, 18, title, size=13) + "\n".join(parts) +
                  "</svg>\n")


def y_of(share):
    return HEIGHT - MARGIN - share * (HEIGHT - 2 * MARGIN)


def axis():
    parts = []
    for tenth in range(0, 11, 2):
        y = y_of(tenth / 10)
        parts.append(f'<line x1="{MARGIN}" x2="{WIDTH - MARGIN}" y1="{y:.1f}" '
                     f'y2="{y:.1f}" stroke="#dddddd"/>')
        parts.append(text(MARGIN - 6, y + 4, f"{tenth / 10:.1f}", "end"))
    return parts


def legend(first, last):
    return [text(MARGIN, HEIGHT - 6, f"grey: {first}; blue: {last}", "start")]


def passing_scores(site):
    """Returns the first and the last whole score of a site that passed."""
    found = []
    for path in sorted(glob.glob("journal/2*.json")):
        with open(path, encoding="utf-8") as entry:
            run = json.load(entry)
        if (run.get("cmd") == "score" and run.get("site") == site
                and run.get("figures", {}).get("gate") == 1.0):
            found.append(run)
    return found[0], found[-1]


def plot_worth():
    for site in ("cbs-hq", "seilnetz-ch", "cbs-hq-grown", "seilnetz-ch-grown",
                 "pillilaen-tln", "pillilaen-tln-grown", "cbs-hq-large"):
        first, last = passing_scores(site)
        before = {day["name"]: day["G"] for day in first["days"]}
        days = [day for day in last["days"] if day["name"] in before]
        step = (WIDTH - 2 * MARGIN) / len(days)
        parts = axis()
        for index, day in enumerate(days):
            left = MARGIN + index * step + step * 0.2
            for key, worth, at in (("first", before[day["name"]], left),
                                   ("last", day["G"], left + step * 0.3)):
                parts.append(
                    f'<rect x="{at:.1f}" y="{y_of(worth):.1f}" '
                    f'width="{step * 0.28:.1f}" '
                    f'height="{y_of(0) - y_of(worth):.1f}" '
                    f'fill="{COLORS[key]}"/>')
                parts.append(text(at + step * 0.14, y_of(worth) - 4,
                                  f"{worth:.2f}", size=10))
            parts.append(text(left + step * 0.29, y_of(0) + 16, day["name"]))
        write(f"docs/plots/worth-{site}.svg", f"worth by day, {site}",
              parts + legend("first score that passed", "last score"))


def plot_recovery():
    with open("docs/plots/recovery.json", encoding="utf-8") as data:
        sites = json.load(data)
    for site, entry in sites.items():
        start, end = entry["fault_at_s"] - 8, entry["fault_at_s"] + 14
        parts = axis()

        def x_of(second, start=start, end=end):
            return MARGIN + (second - start) / (end - start) * (WIDTH -
                                                                2 * MARGIN)
        for key, windows in zip(("first", "last"), entry["runs"].values()):
            points = [(x_of(at + 1), y_of((in_aim + late) / asked))
                      for at, asked, in_aim, late in windows
                      if asked and start <= at + 1 <= end]
            line = " ".join(f"{x:.1f},{y:.1f}" for x, y in points)
            parts.append(f'<polyline points="{line}" fill="none" '
                         f'stroke="{COLORS[key]}" stroke-width="2"/>')
        fault = x_of(entry["fault_at_s"])
        parts.append(f'<line x1="{fault:.1f}" x2="{fault:.1f}" y1="{y_of(1):.1f}"'
                     f' y2="{y_of(0):.1f}" stroke="#c03030"/>')
        for second in range(int(start) + 1, int(end) + 1, 2):
            parts.append(text(x_of(second), y_of(0) + 16, f"{second} s"))
        write(f"docs/plots/recovery-{site}.svg",
              f"share of requests served, by the second they were sent in "
              f"(windows of 2 s), {site}, {entry['day']}; red: loss of power",
              parts + legend(*entry["runs"]))


if __name__ == "__main__":
    plot_worth()
    plot_recovery()
