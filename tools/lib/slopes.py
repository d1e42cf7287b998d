"""Measures what coordination costs idle instances at several fleet sizes.

Prints CPU time, memory, bytes sent to peers and store calls.
"""

import argparse
import os
import sys
import time

import fleet as fleets

MEASURED_S = 10.0
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


def cpu_seconds(pid):
    with open("/proc/%d/stat" % pid) as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def resident_mb(pid):
    with open("/proc/%d/status" % pid) as file:
        for line in file:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return float("nan")


def read_dumps(fleet):
    return [instance.operator_call("GET", "/v1/dump").json() for instance in fleet.instances]


def mean(values):
    return sum(values) / len(values)


def store_calls(dump):
    store = dump["store"]
    return store["reads"] + store["writes"] + store["watches"] + store["lists"]


def make_workspace_list(count):
    lines = []
    for number in range(count):
        lines.append("[workspace w%d]\nplan = retreat\nkey_sha256 = %s\n" %
                     (number, fleets.key_hash("w%d" % number)))
    return "\n".join(lines)


def measure(instances, upstreams, workspaces, first_port):
    pools = {"encoders": upstreams // 4, "retrievers": upstreams // 4,
             "rerankers": upstreams // 4, "menu-engines": upstreams - 3 * (upstreams // 4)}
    with fleets.Fleet("gwledd-encil", instances, first_port, sizes=pools) as fleet:
        fleet.start(60.0)
        if workspaces > 5:
            first = fleet.instances[0]
            version = first.operator_call("GET", "/v1/lists/plans").headers["etag"]
            response = first.operator_call("PUT", "/v1/lists/plans",
                                           make_workspace_list(workspaces).encode(),
                                           {"If-Match": version})
            assert response.status == 200, response.body
        time.sleep(4.0)
        pids = [instance.process.pid for instance in fleet.instances]
        before = read_dumps(fleet)
        cpu_before = [cpu_seconds(pid) for pid in pids]
        started_at = time.monotonic()
        time.sleep(MEASURED_S)
        cpu = [cpu_seconds(pid) - old for pid, old in zip(pids, cpu_before)]
        after = read_dumps(fleet)
        duration = time.monotonic() - started_at
        sent = [(new["peers"]["bytes_sent"] - old["peers"]["bytes_sent"]) / duration
                for new, old in zip(after, before)]
        calls = [(store_calls(new) - store_calls(old)) / duration
                 for new, old in zip(after, before)]
        print("%9d  %9d  %10d  %8.2f%%  %7.1f  %9.2f  %10.2f  %11.2f" % (
            instances, upstreams, workspaces, 100 * mean(cpu) / duration,
            mean([resident_mb(pid) for pid in pids]), mean(sent) / 1000, mean(calls),
            sum(calls)), flush=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", default="2,4,8,16,32")
    parser.add_argument("--upstreams", default="12,48,120")
    parser.add_argument("--workspaces", default="5,200,1200")
    options = parser.parse_args()
    print("instances  upstreams  workspaces  core each  MB each  KB/s each  calls/s each  calls/s all")
    port = 26000
    for count in [int(value) for value in options.instances.split(",")]:
        measure(count, 24, 5, port)
        port += 300
    for count in [int(value) for value in options.upstreams.split(",")]:
        measure(6, count, 5, port)
        port += 300
    for count in [int(value) for value in options.workspaces.split(",")]:
        measure(6, 24, count, port)
        port += 300
    return 0


if __name__ == "__main__":
    sys.exit(main())
