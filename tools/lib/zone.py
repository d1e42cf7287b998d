"""Takes an availability zone out and back in under load; prints service levels per second."""

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
ACTIVATION_LIMIT_S = 3.0


def set_zone_out(fleet, zone, out):
    started_at = time.monotonic()
    response = fleet.instances[0].operator_call("POST", "/v1/availability",
                                                {"zone": zone, "out": out, "reason": "benchmark"})
    return response.status, time.monotonic() - started_at


def sleep_until(load, second):
    time.sleep(max(0.0, load.started_at + second - time.monotonic()))


def run(deployment, instances, rate):
    pipelines, workspaces = PIPELINES[deployment]
    defaults = {"warm_after_ms": 1500, "stage_ms": 20, "token_ms": 8}
    with fleets.Fleet(deployment, instances, 25000, upstream_defaults=defaults) as fleet:
        fleet.start()
        time.sleep(3.0)
        load = loads.Load(fleet, pipelines, workspaces, rate).start()
        zone = fleet.zones[1]
        zone_upstreams = [upstream for upstream in fleet.upstreams if upstream.zone == zone]
        sleep_until(load, OUT_AT_S)
        print("out: status %d after %.0f ms" % tuple(
            value * (1000 if index else 1)
            for index, value in enumerate(set_zone_out(fleet, zone, True))))
        for upstream in zone_upstreams:
            upstream.control(marked_out=True)
        sleep_until(load, IN_AT_S)
        late = sum(upstream.read_counters()["while_out"] for upstream in zone_upstreams)
        for upstream in zone_upstreams:
            upstream.control(marked_out=False, turn_cold=True)
        print("in: status %d after %.0f ms" % tuple(
            value * (1000 if index else 1)
            for index, value in enumerate(set_zone_out(fleet, zone, False))))
        sleep_until(load, END_AT_S)
        records = load.stop()
        all_counters = [upstream.read_counters() for upstream in fleet.upstreams]
    return records, late, sum(counters["over_cold"] for counters in all_counters)


def print_table(records):
    print("second  requests  whole in time  p95 ms")
    for second in range(END_AT_S):
        rows = [record for record in records if int(record.start_offset) == second]
        in_time = [record for record in rows if record.outcome == "whole" and record.in_time]
        print("%6d  %8d  %12.1f%%  %6.0f" % (
            second, len(rows), 100.0 * len(in_time) / len(rows) if rows else float("nan"),
            loads.quantile([record.duration * 1000 for record in in_time], 0.95)))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=sorted(PIPELINES), default="playsafe")
    parser.add_argument("--instances", type=int, default=6)
    parser.add_argument("--rate", type=float, default=60.0, help="requests per second")
    options = parser.parse_args()
    records, late, over_cold = run(options.deployment, options.instances, options.rate)
    print_table(records)
    phases = [("before", 0, OUT_AT_S), ("out", OUT_AT_S, IN_AT_S), ("returned", IN_AT_S, END_AT_S)]
    for name, begin, end in phases:
        print("%-9s %s" % (name, loads.format_summary(
            [record for record in records if begin <= record.start_offset < end])))
    for name, count in sorted(loads.count_failures(records).items()):
        print("  %5d  %s" % (count, name))
    print("work in the zone more than %.0f s after it was out: %d" % (ACTIVATION_LIMIT_S, late))
    print("work above cold capacity: %d" % over_cold)
    return 1 if late or over_cold else 0


if __name__ == "__main__":
    sys.exit(main())
