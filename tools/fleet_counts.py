#!/usr/bin/env python3
"""Adds up the counts that the sidecars of a fleet log (mothrack --counts 1), second by second.

    fleet_counts.py [--by S] [--upstreams] LOG...

Each LOG is one sidecar's; lines may begin with the seconds at which they were written, else they are counted.
Prints a table for the fleet; with --upstreams one more: calls, calls held and connections by upstream, and those
upstreams that were cold.
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
GAUGES = ["held", "avoided", "cold_listed", "listed"]  # summed; means are printed


def read(path):
    """The (second, counts) of one log. What can't be read is told, not passed over in silence."""
    number = 0
    with open(path, encoding="utf-8", errors="replace") as log:
        for row, text in enumerate(log, 1):
            found = LINE.match(text.rstrip("\n"))
            if not found:
                continue
            number += 1
            try:
                counts = json.loads(found.group(2))
            except json.JSONDecodeError as error:
                sys.exit(f"{path}:{row}: not a whole line of counts: {error}")
            yield (float(found.group(1)) if found.group(1) else float(number)), counts


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("logs", nargs="+", metavar="LOG")
    parser.add_argument("--by", type=float, default=1.0, help="seconds to a row")
    parser.add_argument("--upstreams", action="store_true", help="also a table by upstream")
    options = parser.parse_args()

    rows = collections.defaultdict(collections.Counter)
    upstreams = collections.defaultdict(lambda: collections.defaultdict(collections.Counter))
    for path in options.logs:
        for second, counts in read(path):
            at = int(second / options.by)
            row = rows[at]
            row["sidecars"] += 1
            for name in SUMS + GAUGES:
                row[name] += counts.get(name, 0)
            if "shed" in counts:
                row["shedding"] += 1
                row["shed"] += counts["shed"]
            row["subset"] += counts.get("subset", 0)
            row["rate"] += counts.get("rate", 0)
            for uid, (sent, unanswered, held, idle, warmth) in counts.get("to", {}).items():
                one = upstreams[at][uid]
                one["sent"] += sent
                one["unanswered"] += unanswered
                one["held"] += held
                one["connections"] += held + idle
                one["warmth"] = warmth
                one["by"] += 1
    if not rows:
        sys.exit("no counts in these logs: start the sidecars with --counts 1")

    shown = [name for name in SUMS if any(row[name] for row in rows.values())]
    print("  s " + " ".join(f"{n[:9]:>9}" for n in ["sidecars"] + shown + GAUGES + ["shedding", "shed", "subset", "rate"]))
    for at in sorted(rows):
        row = rows[at]
        n = max(row["sidecars"], 1)
        cells = [row["sidecars"]] + [row[name] for name in shown] + [round(row[g] / n, 2) for g in GAUGES]
        cells += [row["shedding"], round(row["shed"] / max(row["shedding"], 1), 2), round(row["subset"] / n, 1),
                  round(row["rate"] / n, 1)]
        print(f"{at * options.by:3g} " + " ".join(f"{cell:>9}" for cell in cells))
    if options.upstreams:
        for at in sorted(upstreams):
            print(f"second {at * options.by:g}: upstream, sent, unanswered, held, connections, sidecars, warmth")
            for uid, one in sorted(upstreams[at].items(), key=lambda item: -item[1]["sent"]):
                print(f"  {uid} {one['sent']:>6} {one['unanswered']:>4} {one['held']:>4} {one['connections']:>5} {one['by']:>4} {one['warmth']}")


if __name__ == "__main__":
    main()
