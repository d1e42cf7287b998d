"""Replaces every instance in turn under load, gracefully or by SIGKILL, and shows what callers saw."""

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
    """Asks every instance's readiness and takes those that fail out, as the platform's does."""

    def __init__(self, fleet):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.ending = threading.Event()

    def run(self):
        while not self.ending.wait(BALANCER_PERIOD_S):
            for instance in list(self.fleet.instances):
                instance.balanced = instance.alive() and instance.ready()


def replace(fleet, instance, gracefully):
    """Starts a new instance in the same zone and ends the old one; returns its exit code."""
    fresh = fleet.add_instance(instance.zone)
    fresh.balanced = False
    fleet.start_instance(fresh)
    fleet.wait_until(fresh.ready, 30.0, "the new instance is ready")
    if gracefully:
        return fleet.stop_instance(instance, 60.0)
    fleet.kill_instance(instance)
    fleet.list_instance(instance, "gone")
    return -signal.SIGKILL


def run(deployment, instances, rate, gracefully):
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
            codes.append(replace(fleet, instance, gracefully))
        time.sleep(SETTLE_S)
        records = load.stop()
        balancer.ending.set()
        over_cold = sum(one.truth()["over_cold"] for one in fleet.upstreams)
    return records, codes, over_cold


def main():
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--deployment", choices=sorted(zones.PIPELINES), default="gwledd-encil")
    options.add_argument("--instances", type=int, default=4)
    options.add_argument("--rate", type=float, default=40.0, help="requests a second")
    options.add_argument("--kill", action="store_true", help="SIGKILL instead of SIGTERM")
    wanted = options.parse_args()
    records, codes, over_cold = run(wanted.deployment, wanted.instances, wanted.rate,
                                    not wanted.kill)
    print(loads.summary(records))
    for name, count in sorted(loads.failures(records).items()):
        print("  %5d  %s" % (count, name))
    print("exit codes: %s" % codes)
    print("work above cold capacity: %d" % over_cold)
    cut_off = sum(1 for one in records if one.outcome in ("no_answer", "broken"))
    print("requests cut off: %d" % cut_off)
    held = over_cold == 0 and (wanted.kill or (cut_off == 0 and set(codes) == {0}))
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
