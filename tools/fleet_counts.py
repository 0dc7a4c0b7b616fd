#!/usr/bin/env python3
"""Adds up the counts that the sidecars of a fleet log (mothrack --counts 1), second by second.

    fleet_counts.py [--by S] [--upstreams] LOG...

Each LOG is the log of one sidecar. A line may begin with the time in seconds at which it was written;
otherwise its position among the lines of counts is its time. Prints a table for the fleet. With --upstreams
it also prints, for each upstream, the calls, the calls in flight, the connections and the slow start factor.
"""
import argparse
import collections
import json
import re
import sys

LINE = re.compile(r"^(?:(\d+(?:\.\d+)?)\s+)?\S+: counts (\{.*\})$")
SUMS = ["first", "retries", "copies", "trials", "cold", "served", "error", "full", "timeout", "noconn", "reset",
        "cancelled", "unsent", "overload", "nobody", "given_up", "ejected", "returned", "opened", "never_up",
        "closed", "evicted", "probes", "calls", "whole_asked", "calls_failed", "lists", "changes", "lines"]
GAUGES = ["held", "avoided", "cold_listed", "listed"]  # printed as means over the sidecars


def read(path):
    """Yields (second, counts) for each line of counts in the log. Exits with an error if one is invalid."""
    position = 0
    with open(path, encoding="utf-8", errors="replace") as log:
        for row, text in enumerate(log, 1):
            match = LINE.match(text.rstrip("\n"))
            if not match:
                continue
            position += 1
            try:
                counts = json.loads(match.group(2))
            except json.JSONDecodeError as error:
                sys.exit(f"{path}:{row}: the counts are not valid JSON: {error}")
            yield (float(match.group(1)) if match.group(1) else float(position)), counts


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("logs", nargs="+", metavar="LOG")
    parser.add_argument("--by", type=float, default=1.0, help="number of seconds in each row")
    parser.add_argument("--upstreams", action="store_true", help="also print a table by upstream")
    options = parser.parse_args()

    rows = collections.defaultdict(collections.Counter)
    upstreams = collections.defaultdict(lambda: collections.defaultdict(collections.Counter))
    for path in options.logs:
        for second, counts in read(path):
            interval = int(second / options.by)
            row = rows[interval]
            row["sidecars"] += 1
            for name in SUMS + GAUGES:
                row[name] += counts.get(name, 0)
            if "shed" in counts:
                row["shedding"] += 1
                row["shed"] += counts["shed"]
            row["subset"] += counts.get("subset", 0)
            row["rate"] += counts.get("rate", 0)
            for uid, (sent, unanswered, held, idle, warmth) in counts.get("to", {}).items():
                totals = upstreams[interval][uid]
                totals["sent"] += sent
                totals["unanswered"] += unanswered
                totals["held"] += held
                totals["connections"] += held + idle
                totals["warmth"] = warmth
                totals["by"] += 1
    if not rows:
        sys.exit("no counts in these logs: start the sidecars with --counts 1")

    shown = [name for name in SUMS if any(row[name] for row in rows.values())]
    columns = ["sidecars"] + shown + GAUGES + ["shedding", "shed", "subset", "rate"]
    print("  s " + " ".join(f"{name[:9]:>9}" for name in columns))
    for interval in sorted(rows):
        row = rows[interval]
        sidecars = max(row["sidecars"], 1)
        cells = [row["sidecars"]] + [row[name] for name in shown]
        cells += [round(row[name] / sidecars, 2) for name in GAUGES]
        cells += [row["shedding"], round(row["shed"] / max(row["shedding"], 1), 2),
                  round(row["subset"] / sidecars, 1), round(row["rate"] / sidecars, 1)]
        print(f"{interval * options.by:3g} " + " ".join(f"{cell:>9}" for cell in cells))
    if options.upstreams:
        for interval in sorted(upstreams):
            print(f"second {interval * options.by:g}: upstream, sent, unanswered, held, connections, "
                  "sidecars, warmth")
            for uid, totals in sorted(upstreams[interval].items(), key=lambda item: -item[1]["sent"]):
                print(f"  {uid} {totals['sent']:>6} {totals['unanswered']:>4} {totals['held']:>4} "
                      f"{totals['connections']:>5} {totals['by']:>4} {totals['warmth']}")


if __name__ == "__main__":
    main()
