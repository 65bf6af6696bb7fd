#!/usr/bin/env python3
"""Tests of losses.py with an invented site and reports."""

import json
import pathlib
import subprocess
import sys
import tempfile
import tomllib
import unittest

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER))
sys.dont_write_bytecode = True

import losses  # noqa: E402

SITE = """
[goal]
mean = 0.5
window = 0.1
class = 0.1
nines = 0.3
nines_best = 0.01
[[services]]
name = "shop"
slots = {slots}
cold_x = 2.0
[[machines]]
app = "shop"
count = 1
[[classes]]
name = "order"
service = "shop"
worth = 1.0
late_worth = 0.4
work_ms = {{ mean = 10.0 }}
aim_ms = 100
deadline_ms = 1500
[[day]]
name = "dark"
closing = {{ kind = "power_off_all", down_s = 1.0 }}
"""


def report(worths, nines=0.5):
    """A day of four windows with 200 requests each; the power fails at 2 s."""
    mean = sum(worths) / len(worths)
    lowest = sum(sorted(worths)[:2]) / 2
    windows = [
        {"name": str(2 * i), "n": 200, "late": 0, "failed": 0, "worth": w}
        for i, w in enumerate(worths)
    ]
    parts = {"whole day": mean, "worst windows": lowest, "worst class": mean, "nines": nines}
    weights = (0.5, 0.1, 0.1, 0.3)
    return {
        "G": sum(w * v for w, v in zip(weights, parts.values())),
        "parts": [[n, w, v] for w, (n, v) in zip(weights, parts.items())],
        "prices": [],
        "unserved_by": [],
        "windows": windows,
        "classes": [{"name": "order", "n": 800, "late": 0, "failed": 0, "worth": mean}],
        "events": [{"at_s": 2.0, "kind": "closing (power_off_all)"}],
    }


class LossesTest(unittest.TestCase):
    def run_on(self, content, slots=2):
        with tempfile.TemporaryDirectory() as folder:
            site, day = pathlib.Path(folder, "site.toml"), pathlib.Path(folder, "report.json")
            site.write_text(SITE.format(slots=slots), encoding="utf-8")
            day.write_text(json.dumps(content), encoding="utf-8")
            return subprocess.run(
                [sys.executable, FOLDER / "losses.py", site, "dark", day],
                capture_output=True, text=True, check=False,
            )

    def bounds_of(self, slots):
        site = tomllib.loads(SITE.format(slots=slots))
        return losses.Bounds(site, site["day"][0], report([1, 0.4, 0.9, 1])).parts()

    # Guards against another value than the bench's; its reports state 0.6866 for
    # 733 requests of 84,118 and 0.8159 for 300.
    def test_value_of_nines_is_that_of_the_bench(self):
        self.assertAlmostEqual(losses.value_of_nines(733 / 84118, 0.001), 0.6866, 4)
        self.assertAlmostEqual(losses.value_of_nines(300 / 84118, 0.001), 0.8159, 4)
        self.assertEqual(losses.value_of_nines(0, 0.001), 1)
        self.assertEqual(losses.value_of_nines(0.0005, 0.001), 1)
        self.assertEqual(losses.value_of_nines(1, 0.001), 0)

    # Guards against a bound that lacks a part of the goal.
    def test_bound_has_all_parts(self):
        done = self.run_on(report([1, 0.4, 0.9, 1]))
        self.assertEqual(done.returncode, 0, done.stderr)
        self.assertIn("worst class | nines |", done.stdout)
        bound = next(l for l in done.stdout.splitlines() if l.startswith("| upper bound"))
        worth, whole, worst, least, nines = [float(v) for v in bound.split("|")[2:-1]]
        self.assertEqual(nines, 1)
        self.assertAlmostEqual(worth, 0.5 * whole + 0.1 * worst + 0.1 * least + 0.3, 2)

    # Guards against a deployment that does not weigh the part, whose report lacks
    # it.
    def test_part_without_weight_is_left_out(self):
        site = tomllib.loads(SITE.format(slots=2))
        site["goal"]["nines"] = 0.0
        self.assertNotIn("nines", losses.Bounds(site, site["day"][0], report([1, 0.4, 0.9, 1])).parts())

    # Guards against a bound that is below what was earned without a word.
    def test_fails_if_more_was_earned(self):
        done = self.run_on(report([1, 0.99, 0.9, 1]))
        self.assertEqual(done.returncode, 1)
        self.assertIn("the bound of whole day", done.stderr)

    # Guards against a loss where the slots suffice to serve what the outage held
    # up within the time limit, and against none where they do not.
    def test_requests_of_the_outage_are_lost_only_without_slots(self):
        self.assertEqual(self.bounds_of(slots=2)["nines"], 1)
        self.assertLess(self.bounds_of(slots=1)["nines"], 1)

    # Guards against slots that are spent on requests past their time limit.
    def test_expired_requests_take_no_slots(self):
        kind = {"work_ms": {"mean": 10}, "aim_ms": 100, "deadline_ms": 3000,
                "worth": 1, "late_worth": 0.4}
        pending = [losses.Request(kind, 0, 5, 100), losses.Request(kind, 5, 5, 1)]
        earned, lost = losses.serve(pending, 1, 1, 5, losses.by_deadline)
        self.assertEqual(lost, 100)
        self.assertEqual(earned, {2: 1})

    # Guards against a window's bound from the schedule that is the best for the
    # day, which serves other windows first.
    def test_favoured_window_is_served_first(self):
        kind = {"work_ms": {"mean": 100}, "aim_ms": 100, "deadline_ms": 3000,
                "worth": 1, "late_worth": 0.4}

        def earned(favoured):
            pending = [losses.Request(kind, 1, 3, 30)]
            pending += [losses.Request(kind, 3 + i / 10, 3 + i / 10, 1) for i in range(10)]
            return losses.serve(pending, 1, 1, 3, losses.by_worth(favoured))[0]

        self.assertGreater(earned({0}).get(0, 0), earned(None).get(0, 0))


if __name__ == "__main__":
    unittest.main()
