"""Runs the whole path once on loopback and prints what was seen. Exits 0 only if all of it held."""

import subprocess
import sys
import time

import fleet as fleets

DEPLOYMENT = "gwledd-encil"
PLAN_WORKSPACE = "brecon"
IN_FORCE_LIMIT_S = 3.0

failures = []


def check(held, what):
    print("%s  %s" % ("held  " if held else "FAILED", what))
    if not held:
        failures.append(what)


def ctl(fleet, instance, *words, key=None):
    """Runs cyclamenctl; returns its exit code and output."""
    key_file = fleet.write_secret("workspace.key", fleets.workspace_key(PLAN_WORKSPACE))
    arguments = [fleets.BUILD + "/src/app/cyclamenctl", "--server", instance.operators,
                 "--secret-file", fleet.operator_secret, "--caller", instance.caller,
                 "--key-file", key_file, "--as", "demo", "--reason", "demonstration"]
    if key:
        arguments += ["--idempotency-key", key]
    done = subprocess.run(arguments + list(words), capture_output=True, text=True, timeout=60,
                          check=False)
    return done.returncode, (done.stdout + done.stderr).strip()


def show_requests(fleet):
    first, second = fleet.instances[0], fleet.instances[1]
    code, output = ctl(fleet, first, "request", "menu-plan", "a week of suppers for twelve")
    print(output)
    check(code == 0, "a menu plan through cyclamenctl is whole")

    answer = fleets.run_pipeline(second, "menu-plan", "a week of suppers for twelve",
                                 PLAN_WORKSPACE)
    check(answer.whole(), "a menu plan through plain HTTP is whole (%d frames, %.0f ms)" %
          (len(answer.frames), answer.took * 1000))


def show_once(fleet):
    first, second = fleet.instances[0], fleet.instances[1]
    order = '{"delivery":"lamb-17"}'
    code, output = ctl(fleet, first, "call", "supplier-ordering", "confirm", order, key="lamb-17")
    print(output)
    check(code == 0, "a delivery is confirmed")
    again = fleets.call_service(second, "supplier-ordering", "confirm", order.encode(),
                                PLAN_WORKSPACE, key="lamb-17")
    check(again.status == 200 and again.body.decode().strip() == output.strip(),
          "its repeat through another instance gets the same answer")
    without = fleets.call_service(second, "supplier-ordering", "confirm", order.encode(),
                                  PLAN_WORKSPACE)
    check(without.status != 200 and without.json()["execution"] == "not_run",
          "a confirmation without a key is refused as not run")
    runs = sum(one.truth()["runs_by_key"].get("lamb-17", 0)
               for one in fleet.pool("supplier-ordering"))
    check(runs == 1, "the supplier saw it %d time(s)" % runs)


def show_zone(fleet):
    zone = fleet.zones[1]
    code, output = ctl(fleet, fleet.instances[0], "zone", "out", zone)
    print(output)
    check(code == 0, "zone %s is out everywhere" % zone)
    inside = [one for one in fleet.upstreams if one.zone == zone]
    for one in inside:
        one.control(marked_out=True)
    end = time.monotonic() + IN_FORCE_LIMIT_S + 1.0
    whole = 0
    while time.monotonic() < end:
        for instance in fleet.instances:
            whole += fleets.run_pipeline(instance, "menu-plan", "soup", PLAN_WORKSPACE).whole()
    late = sum(one.truth()["while_out"] for one in inside)
    check(late == 0 and whole > 0, "%d plans made meanwhile, %d pieces of work in the zone after "
          "%.0f s" % (whole, late, IN_FORCE_LIMIT_S))
    for one in inside:
        one.control(marked_out=False)
    code, output = ctl(fleet, fleet.instances[2], "zone", "in", zone)
    print(output)
    check(code == 0, "zone %s is back everywhere" % zone)


def show_truth(fleet):
    truths = [one.truth() for one in fleet.upstreams]
    check(sum(one["over_cold"] for one in truths) == 0, "no cold upstream got more than it bears")
    code, output = ctl(fleet, fleet.instances[0], "status")
    print(output)
    check(code == 0, "status is there")


def stop_all(fleet):
    codes = [fleet.stop_instance(instance) for instance in fleet.instances]
    check(codes == [0] * len(codes), "every instance stopped gracefully")


def main():
    with fleets.Fleet(DEPLOYMENT, 3, upstream_defaults={"warm_after_ms": 500}) as fleet:
        fleet.start()
        print("three instances are ready")
        show_requests(fleet)
        show_once(fleet)
        show_zone(fleet)
        show_truth(fleet)
        stop_all(fleet)
    print("%d failed" % len(failures) if failures else "all of it held")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
