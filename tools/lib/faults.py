"""Fault pairs on real processes: a seeded table, two at once, under light load.

The verdict is the number of violations, read from the stand-ins' own counts and from the answers.
"""

import argparse
import random
import sys
import time

import expected
import fault_table
import fleet as fleets
import traffic as traffics
import watcher as watchers

DEPLOYMENT = "gwledd-encil"
SIZES = {"encoders": 3, "retrievers": 3, "rerankers": 3, "menu-engines": 6, "supplier-ordering": 3}
FAULT_S = 4.0
RECOVERY_LIMIT_S = 15.0
SETTLE_S = 1.0
COUNTS = ["over_cold", "while_out", "while_leaving", "over_cold_grace"]


class Pair:
    """What came of one pair."""

    def __init__(self, number, faults):
        self.number = number
        self.names = " + ".join(one.name for one in faults)
        self.counts = {}
        self.violations = []
        self.disturbed = []
        self.begun = None
        self.recovered = None


def read_counts(fleet):
    totals = dict.fromkeys(COUNTS, 0)
    for upstream in fleet.upstreams:
        truth = fault_table.quietly(upstream.truth)
        for name in COUNTS:
            totals[name] += truth[name] if truth else 0
    return totals


def run_pair(fleet, pair, faults, choice):
    context = fault_table.Context(fleet, choice)
    pair.begun = time.monotonic()
    before = read_counts(fleet)
    active = [one(context) for one in faults]
    for one in active:
        one.begin()
    time.sleep(FAULT_S)
    for one in reversed(active):
        one.end()
    begun = time.monotonic()
    try:
        fleet.wait_until(lambda: all(one.ready() for one in fleet.instances), RECOVERY_LIMIT_S,
                         "every instance is ready")
        pair.recovered = time.monotonic() - begun
    except RuntimeError as failure:
        pair.violations.append(str(failure))
    time.sleep(SETTLE_S)
    after = read_counts(fleet)
    pair.counts = {name: after[name] - before[name] for name in COUNTS}
    for name in COUNTS[:3]:
        if pair.counts[name]:
            pair.violations.append("%s %d" % (name, pair.counts[name]))
    pair.violations += context.violations
    pair.disturbed = context.disturbed


def merged(fleet, name):
    totals = {}
    for upstream in fleet.upstreams:
        for key, count in (fault_table.quietly(upstream.truth) or {}).get(name, {}).items():
            totals[key] = totals.get(key, 0) + count
    return totals


def check_calls(records, runs, pairs):
    """At most once; and what the callers were told about it is true."""
    by_key = {}
    for one in records:
        if one.kind == "call":
            by_key.setdefault(one.name, []).append(one)
    for key, calls in by_key.items():
        count = runs.get(key, 0)
        pair = pairs[min(call.pair for call in calls)]
        told = sorted({call.execution or call.outcome for call in calls})
        if count > 1:
            pair.violations.append("call %s ran %d times" % (key, count))
        if count > 0 and told == ["not_run"]:
            pair.violations.append("call %s ran, told not run" % key)
        if count == 0 and "whole" in told:
            pair.violations.append("call %s answered but never ran" % key)


def check_plans(records, runs, pairs):
    for one in records:
        if one.kind != "pipeline":
            continue
        if one.fault:
            pairs[one.pair].violations.append("%s: %s" % (one.name, one.fault))
        if one.execution == "not_run" and runs.get(one.name, 0):
            pairs[one.pair].violations.append("%s ran, told not run (%s)" % (one.name, one.reason))


def was_disturbed(record, pairs):
    return any(index == record.instance and begin <= record.ended and record.begun <= end
               for pair in pairs for index, begin, end in pair.disturbed)


def check_cut_off(records, pairs):
    """Only an instance that was killed or paused may leave a caller without an answer."""
    for one in records:
        if one.outcome == "no_answer" and not one.refused_connection \
                and not was_disturbed(one, pairs):
            pairs[one.pair].violations.append(
                "%s %s cut off at instance %d (%s)" % (one.kind, one.name, one.instance, one.reason))


def check_configuration(watcher, pairs):
    """What was accepted is in force in time at instances that run, and never goes back."""
    for sight, text in watcher.reverted() + watcher.late():
        during = [one for one in pairs if one.begun <= sight.asked_at]
        disturbed = any(index == sight.index and begin <= sight.asked_at <= end + watchers.IN_FORCE_S
                        for one in pairs for index, begin, end in one.disturbed)
        went_back = "went back" in text
        if during and (went_back or not disturbed):
            during[-1].violations.append(text)


def print_table(pairs, records):
    print("%3s  %-42s %6s %6s %8s %7s %7s %6s %6s  %s" % (
        "", "faults", "asked", "whole", "not run", "other", "no ans.", "grace", "back s",
        "violations"))
    for pair in pairs:
        rows = [one for one in records if one.pair == pair.number]
        whole = sum(1 for one in rows if one.outcome == "whole")
        not_run = sum(1 for one in rows if one.execution == "not_run")
        silent = sum(1 for one in rows if one.outcome == "no_answer")
        print("%3d  %-42s %6d %6d %8d %7d %7d %6d %6s  %d" % (
            pair.number, pair.names, len(rows), whole, not_run,
            len(rows) - whole - not_run - silent, silent,
            pair.counts.get("over_cold_grace", 0),
            "never" if pair.recovered is None else "%.1f" % pair.recovered, len(pair.violations)))
    for pair in pairs:
        for violation in pair.violations[:12]:
            print("  pair %d: %s" % (pair.number, violation))
        if len(pair.violations) > 12:
            print("  pair %d: and %d more" % (pair.number, len(pair.violations) - 12))


def print_reasons(records):
    reasons = {}
    for one in records:
        if one.outcome != "whole":
            name = "%s %s %s %s" % (one.kind, one.outcome, one.reason[:40], one.execution)
            reasons[name] = reasons.get(name, 0) + 1
    for name, count in sorted(reasons.items(), key=lambda entry: -entry[1])[:16]:
        print("  %5d  %s" % (count, name))


def run(options):
    choice = random.Random(options.seed)
    planned = fault_table.draw_pairs(choice, options.pairs)
    if options.only:
        wanted = {one.name: one for one in fault_table.FAULTS}
        planned = [tuple(wanted[name] for name in options.only.split("+"))] * options.pairs
    pairs = [Pair(number, faults) for number, faults in enumerate(planned)]
    defaults = {"warm_after_ms": 1500, "stage_ms": 15, "token_ms": 4, "restart_after_ms": 500}
    with fleets.Fleet(DEPLOYMENT, options.instances, options.port, sizes=SIZES,
                      upstream_defaults=defaults) as fleet:
        fleet.start()
        fleet.fault(list_lag_ms=300)
        judge = expected.Judge(fleet)
        watcher = watchers.Watcher(fleet)
        watcher.start()
        traffic = traffics.Traffic(watcher, judge, options.seed)
        time.sleep(2.0)
        traffic.start()
        for pair, faults in zip(pairs, planned):
            traffic.pair = pair.number
            run_pair(fleet, pair, faults, choice)
        stuck = traffic.stop()
        watcher.stop()
        judge.end()
        check_calls(traffic.records, merged(fleet, "runs_by_key"), pairs)
        check_plans(traffic.records, merged(fleet, "runs_by_mark"), pairs)
        check_cut_off(traffic.records, pairs)
        check_configuration(watcher, pairs)
        if stuck:
            pairs[-1].violations.append("%d callers never ended" % len(stuck))
        print("logs in %s; %d edits accepted, %d conflicts, %d looks at versions" % (
            fleet.folder, len(watcher.accepted), watcher.conflicts, len(watcher.sights)))
    return pairs, traffic.records


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--pairs", type=int, default=14)
    parser.add_argument("--instances", type=int, default=4)
    parser.add_argument("--port", type=int, default=23200, help="first of the ports")
    parser.add_argument("--only", help="one pair of fault names, joined by +")
    options = parser.parse_args()
    begun = time.monotonic()
    pairs, records = run(options)
    print_table(pairs, records)
    print_reasons(records)
    violations = sum(len(pair.violations) for pair in pairs)
    print("seed %d, %d pairs, %d requests, %.0f s: violations %d" % (
        options.seed, len(pairs), len(records), time.monotonic() - begun, violations))
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
