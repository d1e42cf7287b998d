"""Service while an availability zone leaves and returns under load, per second."""

import argparse
import sys
import time

import fleet as fleets
import load as loads

PIPELINES = {
    "gwledd-encil": (["menu-plan", "allergy-answer", "prep-sheet"], ["brecon", "anglesey"]),
    "playsafe": (["safety-report", "visit-summary", "defect-talk"], ["schools", "estates"]),
}
OUT_AT_S = 8
IN_AT_S = 18
END_AT_S = 30
BOUND_S = 3.0


def order(fleet, zone, out):
    begun = time.monotonic()
    answer = fleet.instances[0].operator_call("POST", "/v1/availability",
                                              {"zone": zone, "out": out, "reason": "benchmark"})
    return answer.status, time.monotonic() - begun


def sleep_until(load, second):
    time.sleep(max(0.0, load.begun + second - time.monotonic()))


def run(deployment, instances, rate):
    pipelines, workspaces = PIPELINES[deployment]
    defaults = {"warm_after_ms": 1500, "stage_ms": 20, "token_ms": 8}
    with fleets.Fleet(deployment, instances, 25000, upstream_defaults=defaults) as fleet:
        fleet.start()
        time.sleep(3.0)
        load = loads.Load(fleet, pipelines, workspaces, rate).start()
        zone = fleet.zones[1]
        inside = [one for one in fleet.upstreams if one.zone == zone]
        sleep_until(load, OUT_AT_S)
        print("out: status %d after %.0f ms" % tuple(
            value * (1000 if index else 1) for index, value in enumerate(order(fleet, zone, True))))
        for one in inside:
            one.control(marked_out=True)
        sleep_until(load, IN_AT_S)
        late = sum(one.truth()["while_out"] for one in inside)
        for one in inside:
            one.control(marked_out=False, turn_cold=True)
        print("in: status %d after %.0f ms" % tuple(
            value * (1000 if index else 1) for index, value in enumerate(order(fleet, zone, False))))
        sleep_until(load, END_AT_S)
        records = load.stop()
        truths = [one.truth() for one in fleet.upstreams]
    return records, late, sum(one["over_cold"] for one in truths)


def print_table(records):
    print("second  requests  whole in time  p95 ms")
    for second in range(END_AT_S):
        rows = [one for one in records if int(one.at) == second]
        good = [one for one in rows if one.outcome == "whole" and one.in_time]
        print("%6d  %8d  %12.1f%%  %6.0f" % (
            second, len(rows), 100.0 * len(good) / len(rows) if rows else float("nan"),
            loads.quantile([one.took * 1000 for one in good], 0.95)))


def main():
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--deployment", choices=sorted(PIPELINES), default="playsafe")
    options.add_argument("--instances", type=int, default=6)
    options.add_argument("--rate", type=float, default=60.0, help="requests a second")
    wanted = options.parse_args()
    records, late, over_cold = run(wanted.deployment, wanted.instances, wanted.rate)
    print_table(records)
    phases = [("before", 0, OUT_AT_S), ("out", OUT_AT_S, IN_AT_S), ("returned", IN_AT_S, END_AT_S)]
    for name, begin, end in phases:
        print("%-9s %s" % (name, loads.summary([one for one in records if begin <= one.at < end])))
    for name, count in sorted(loads.failures(records).items()):
        print("  %5d  %s" % (count, name))
    print("work in the zone more than %.0f s after it was out: %d" % (BOUND_S, late))
    print("work above cold capacity: %d" % over_cold)
    return 1 if late or over_cold else 0


if __name__ == "__main__":
    sys.exit(main())
