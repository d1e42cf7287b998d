"""Runs an end-to-end demonstration on loopback; exits 0 only if all checks passed."""

import subprocess
import sys
import time

import fleet as fleets

DEPLOYMENT = "gwledd-encil"
PLAN_WORKSPACE = "brecon"
ACTIVATION_LIMIT_S = 3.0

failures = []


def check(passed, description):
    print("%s  %s" % ("ok    " if passed else "FAILED", description))
    if not passed:
        failures.append(description)


def run_cyclamenctl(fleet, instance, *words, key=None):
    """Runs cyclamenctl; returns its exit code and output."""
    key_file = fleet.write_secret("workspace.key", fleets.workspace_key(PLAN_WORKSPACE))
    arguments = [fleets.BUILD + "/src/app/cyclamenctl", "--server", instance.operator_address,
                 "--secret-file", fleet.operator_secret, "--caller", instance.caller_address,
                 "--key-file", key_file, "--as", "demo", "--reason", "demonstration"]
    if key:
        arguments += ["--idempotency-key", key]
    result = subprocess.run(arguments + list(words), capture_output=True, text=True, timeout=60,
                            check=False)
    return result.returncode, (result.stdout + result.stderr).strip()


def show_requests(fleet):
    first, second = fleet.instances[0], fleet.instances[1]
    code, output = run_cyclamenctl(fleet, first, "request", "menu-plan",
                                   "a week of suppers for twelve")
    print(output)
    check(code == 0, "a menu plan through cyclamenctl is complete")

    response = fleets.run_pipeline(second, "menu-plan", "a week of suppers for twelve",
                                   PLAN_WORKSPACE)
    check(response.is_complete(),
          "a menu plan through plain HTTP is complete (%d frames, %.0f ms)" %
          (len(response.frames), response.duration * 1000))


def show_at_most_once(fleet):
    first, second = fleet.instances[0], fleet.instances[1]
    body = '{"delivery":"lamb-17"}'
    code, output = run_cyclamenctl(fleet, first, "call", "supplier-ordering", "confirm", body,
                                   key="lamb-17")
    print(output)
    check(code == 0, "a delivery is confirmed")
    repeated = fleets.call_service(second, "supplier-ordering", "confirm", body.encode(),
                                   PLAN_WORKSPACE, key="lamb-17")
    check(repeated.status == 200 and repeated.body.decode().strip() == output.strip(),
          "a repeat of the call through another instance gets the same response")
    without_key = fleets.call_service(second, "supplier-ordering", "confirm", body.encode(),
                                      PLAN_WORKSPACE)
    check(without_key.status != 200 and without_key.json()["execution"] == "not_run",
          "a confirmation without a key is refused as not run")
    runs = sum(upstream.read_counters()["runs_by_key"].get("lamb-17", 0)
               for upstream in fleet.pool("supplier-ordering"))
    check(runs == 1, "the upstreams ran the confirmation %d time(s)" % runs)


def show_zone(fleet):
    zone = fleet.zones[1]
    code, output = run_cyclamenctl(fleet, fleet.instances[0], "zone", "out", zone)
    print(output)
    check(code == 0, "all instances have taken zone %s out" % zone)
    zone_upstreams = [upstream for upstream in fleet.upstreams if upstream.zone == zone]
    for upstream in zone_upstreams:
        upstream.control(marked_out=True)
    deadline = time.monotonic() + ACTIVATION_LIMIT_S + 1.0
    completed = 0
    while time.monotonic() < deadline:
        for instance in fleet.instances:
            completed += fleets.run_pipeline(instance, "menu-plan", "soup",
                                             PLAN_WORKSPACE).is_complete()
    late = sum(upstream.read_counters()["while_out"] for upstream in zone_upstreams)
    check(late == 0 and completed > 0, "%d plans made with the zone out, %d pieces of work started "
          "in the zone more than %.0f s after" % (completed, late, ACTIVATION_LIMIT_S))
    for upstream in zone_upstreams:
        upstream.control(marked_out=False)
    code, output = run_cyclamenctl(fleet, fleet.instances[2], "zone", "in", zone)
    print(output)
    check(code == 0, "all instances have taken zone %s back in" % zone)


def show_counters(fleet):
    all_counters = [upstream.read_counters() for upstream in fleet.upstreams]
    check(sum(counters["over_cold"] for counters in all_counters) == 0,
          "no cold upstream received work above its cold capacity")
    code, output = run_cyclamenctl(fleet, fleet.instances[0], "status")
    print(output)
    check(code == 0, "the status was printed")


def stop_all(fleet):
    codes = [fleet.stop_instance(instance) for instance in fleet.instances]
    check(codes == [0] * len(codes), "every instance stopped gracefully")


def main():
    with fleets.Fleet(DEPLOYMENT, 3, upstream_defaults={"warm_after_ms": 500}) as fleet:
        fleet.start()
        print("three instances are ready")
        show_requests(fleet)
        show_at_most_once(fleet)
        show_zone(fleet)
        show_counters(fleet)
        stop_all(fleet)
    print("%d failed" % len(failures) if failures else "all checks passed")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
