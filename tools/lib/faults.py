"""Runs seeded pairs of concurrent faults against real processes under light load.

The result is the number of violations, from the counters of the stand-ins and from the responses.
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
# Counters of the stand-ins that are reported per pair; all but over_cold_grace must not grow.
COUNTS = ["over_cold", "while_out", "while_leaving", "over_cold_grace"]


class FaultPair:
    """Outcome of one pair of concurrent faults."""

    def __init__(self, number, faults):
        self.number = number
        self.names = " + ".join(fault.name for fault in faults)
        self.counts = {}
        self.violations = []
        self.disturbed = []
        self.started_at = None
        self.recovery_s = None


def read_counts(fleet):
    totals = dict.fromkeys(COUNTS, 0)
    for upstream in fleet.upstreams:
        counters = fault_table.retry_on_os_error(upstream.read_counters)
        for name in COUNTS:
            totals[name] += counters[name] if counters else 0
    return totals


def run_pair(fleet, pair, faults, rng):
    context = fault_table.Context(fleet, rng)
    pair.started_at = time.monotonic()
    before = read_counts(fleet)
    active = [fault(context) for fault in faults]
    for fault in active:
        fault.begin()
    time.sleep(FAULT_S)
    # Store faults end first: the return of a zone can be recorded only if the store is available.
    for fault in sorted(active, key=lambda fault: not isinstance(fault, fault_table.StoreFault)):
        fault.end()
    recovery_started_at = time.monotonic()
    try:
        fleet.wait_until(lambda: all(instance.is_ready() for instance in fleet.instances),
                         RECOVERY_LIMIT_S, "every instance is ready")
        pair.recovery_s = time.monotonic() - recovery_started_at
    except RuntimeError as error:
        pair.violations.append(str(error))
    time.sleep(SETTLE_S)
    after = read_counts(fleet)
    pair.counts = {name: after[name] - before[name] for name in COUNTS}
    for name in COUNTS[:3]:
        if pair.counts[name]:
            pair.violations.append("%s %d" % (name, pair.counts[name]))
    pair.violations += context.violations
    pair.disturbed = context.disturbed


def sum_counters_by_key(fleet, name):
    """Sums a counter that upstreams keep per key over all upstreams."""
    totals = {}
    for upstream in fleet.upstreams:
        for key, count in (fault_table.retry_on_os_error(upstream.read_counters)
                           or {}).get(name, {}).items():
            totals[key] = totals.get(key, 0) + count
    return totals


def check_calls(records, runs, pairs):
    """Each key ran at most once, and the outcomes reported to the callers agree with that."""
    by_key = {}
    for record in records:
        if record.kind == "call":
            by_key.setdefault(record.name, []).append(record)
    for key, calls in by_key.items():
        count = runs.get(key, 0)
        pair = pairs[min(call.pair for call in calls)]
        reported = sorted({call.execution or call.outcome for call in calls})
        if count > 1:
            pair.violations.append("call %s ran %d times" % (key, count))
        if count > 0 and reported == ["not_run"]:
            pair.violations.append("call %s ran, but was reported as not run" % key)
        if count == 0 and "whole" in reported:
            pair.violations.append("call %s was answered in full but never ran" % key)


def check_plans(records, runs, pairs):
    for record in records:
        if record.kind != "pipeline":
            continue
        if record.response_error:
            pairs[record.pair].violations.append("%s: %s" % (record.name, record.response_error))
        if record.execution == "not_run" and runs.get(record.name, 0):
            pairs[record.pair].violations.append("%s ran, but was reported as not run (%s)" % (
                record.name, record.reason))


def was_disturbed(record, pairs):
    return any(index == record.instance and begin <= record.ended_at and record.started_at <= end
               for pair in pairs for index, begin, end in pair.disturbed)


def check_incomplete_responses(records, pairs):
    """Only an instance that was killed or paused may leave a caller without a full response."""
    for record in records:
        if record.outcome == "no_answer" and not record.refused_connection \
                and not was_disturbed(record, pairs):
            pairs[record.pair].violations.append(
                "%s %s got no complete response from instance %d (%s)" % (
                    record.kind, record.name, record.instance, record.reason))


def check_configuration(watcher, pairs):
    """Accepted versions are in force in time at undisturbed instances, and no version goes back."""
    for observation, text in watcher.find_rollbacks() + watcher.find_late_activations():
        started_pairs = [pair for pair in pairs if pair.started_at <= observation.requested_at]
        disturbed = any(index == observation.index
                        and begin <= observation.requested_at <= end + watchers.ACTIVATION_LIMIT_S
                        for pair in pairs for index, begin, end in pair.disturbed)
        went_back = "went back" in text
        if started_pairs and (went_back or not disturbed):
            started_pairs[-1].violations.append(text)


def print_table(pairs, records):
    print("%3s  %-42s %6s %6s %8s %7s %7s %6s %6s  %s" % (
        "", "faults", "asked", "whole", "not run", "other", "no ans.", "grace", "back s",
        "violations"))
    for pair in pairs:
        rows = [record for record in records if record.pair == pair.number]
        completed = sum(1 for record in rows if record.outcome == "whole")
        not_run = sum(1 for record in rows if record.execution == "not_run")
        unanswered = sum(1 for record in rows if record.outcome == "no_answer")
        print("%3d  %-42s %6d %6d %8d %7d %7d %6d %6s  %d" % (
            pair.number, pair.names, len(rows), completed, not_run,
            len(rows) - completed - not_run - unanswered, unanswered,
            pair.counts.get("over_cold_grace", 0),
            "never" if pair.recovery_s is None else "%.1f" % pair.recovery_s, len(pair.violations)))
    for pair in pairs:
        for violation in pair.violations[:12]:
            print("  pair %d: %s" % (pair.number, violation))
        if len(pair.violations) > 12:
            print("  pair %d: and %d more" % (pair.number, len(pair.violations) - 12))


def print_reasons(records):
    reasons = {}
    for record in records:
        if record.outcome != "whole":
            name = "%s %s %s %s" % (record.kind, record.outcome, record.reason[:40],
                                    record.execution)
            reasons[name] = reasons.get(name, 0) + 1
    for name, count in sorted(reasons.items(), key=lambda entry: -entry[1])[:16]:
        print("  %5d  %s" % (count, name))


def run(options):
    rng = random.Random(options.seed)
    planned = fault_table.draw_pairs(rng, options.pairs)
    if options.only:
        faults_by_name = {fault.name: fault for fault in fault_table.FAULTS}
        planned = [tuple(faults_by_name[name] for name in options.only.split("+"))] * options.pairs
    pairs = [FaultPair(number, faults) for number, faults in enumerate(planned)]
    defaults = {"warm_after_ms": 1500, "stage_ms": 15, "token_ms": 4, "restart_after_ms": 500}
    with fleets.Fleet(DEPLOYMENT, options.instances, options.port, sizes=SIZES,
                      upstream_defaults=defaults) as fleet:
        fleet.start()
        fleet.set_store_faults(list_lag_ms=300)
        checker = expected.ResponseChecker(fleet)
        watcher = watchers.Watcher(fleet)
        watcher.start()
        traffic = traffics.Traffic(watcher, checker, options.seed)
        time.sleep(2.0)
        traffic.start()
        for pair, faults in zip(pairs, planned):
            traffic.pair = pair.number
            run_pair(fleet, pair, faults, rng)
        unfinished = traffic.stop()
        watcher.stop()
        checker.close()
        check_calls(traffic.records, sum_counters_by_key(fleet, "runs_by_key"), pairs)
        check_plans(traffic.records, sum_counters_by_key(fleet, "runs_by_mark"), pairs)
        check_incomplete_responses(traffic.records, pairs)
        check_configuration(watcher, pairs)
        if unfinished:
            pairs[-1].violations.append(
                "%d threads of callers never ended" % len(unfinished))
        print("logs in %s; %d edits accepted, %d conflicts, %d observations of versions" % (
            fleet.folder, len(watcher.accepted), watcher.conflicts, len(watcher.observations)))
    return pairs, traffic.records


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--pairs", type=int, default=14)
    parser.add_argument("--instances", type=int, default=4)
    parser.add_argument("--port", type=int, default=23200, help="first port to use")
    parser.add_argument("--only", help="one pair of fault names, joined by +")
    options = parser.parse_args()
    started_at = time.monotonic()
    pairs, records = run(options)
    print_table(pairs, records)
    print_reasons(records)
    violations = sum(len(pair.violations) for pair in pairs)
    print("seed %d, %d pairs, %d requests, %.0f s: violations %d" % (
        options.seed, len(pairs), len(records), time.monotonic() - started_at, violations))
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
