"""Replaces every instance in turn under load, by SIGTERM or SIGKILL; prints what callers saw."""

import argparse
import signal
import sys
import threading
import time

import fleet as fleets
import load as loads
import zone as zones

SETTLE_S = 4.0
BALANCER_PERIOD_S = 0.5


class Balancer(threading.Thread):
    """Polls readiness and takes unready instances out of rotation, like the platform's balancer."""

    def __init__(self, fleet):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.stopping = threading.Event()

    def run(self):
        while not self.stopping.wait(BALANCER_PERIOD_S):
            for instance in list(self.fleet.instances):
                instance.in_rotation = instance.is_alive() and instance.is_ready()


def replace(fleet, instance, graceful):
    """Starts a new instance in the zone and ends the old one; returns the old one's exit code."""
    replacement = fleet.add_instance(instance.zone)
    replacement.in_rotation = False
    fleet.start_instance(replacement)
    fleet.wait_until(replacement.is_ready, 30.0, "the new instance is ready")
    if graceful:
        return fleet.stop_instance(instance, 60.0)
    fleet.kill_instance(instance)
    fleet.set_instance_state(instance, "gone")
    return -signal.SIGKILL


def run(deployment, instances, rate, graceful):
    pipelines, workspaces = zones.PIPELINES[deployment]
    defaults = {"warm_after_ms": 500, "stage_ms": 20, "token_ms": 8}
    with fleets.Fleet(deployment, instances, 27000, upstream_defaults=defaults) as fleet:
        fleet.start()
        time.sleep(2.0)
        balancer = Balancer(fleet)
        balancer.start()
        load = loads.Load(fleet, pipelines, workspaces, rate).start()
        codes = []
        for instance in list(fleet.instances):
            time.sleep(SETTLE_S)
            codes.append(replace(fleet, instance, graceful))
        time.sleep(SETTLE_S)
        records = load.stop()
        balancer.stopping.set()
        over_cold = sum(upstream.read_counters()["over_cold"] for upstream in fleet.upstreams)
    return records, codes, over_cold


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=sorted(zones.PIPELINES), default="gwledd-encil")
    parser.add_argument("--instances", type=int, default=4)
    parser.add_argument("--rate", type=float, default=40.0, help="requests per second")
    parser.add_argument("--kill", action="store_true", help="SIGKILL instead of SIGTERM")
    options = parser.parse_args()
    records, codes, over_cold = run(options.deployment, options.instances, options.rate,
                                    not options.kill)
    print(loads.format_summary(records))
    for name, count in sorted(loads.count_failures(records).items()):
        print("  %5d  %s" % (count, name))
    print("exit codes: %s" % codes)
    print("work above cold capacity: %d" % over_cold)
    cut_off = sum(1 for record in records if record.outcome in ("no_answer", "broken"))
    print("requests without a complete response: %d" % cut_off)
    passed = over_cold == 0 and (options.kill or (cut_off == 0 and set(codes) == {0}))
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
