"""What control costs an idle instance: time, memory, bytes and store calls at several sizes."""

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


def dumps(fleet):
    return [one.operator_call("GET", "/v1/dump").json() for one in fleet.instances]


def mean(values):
    return sum(values) / len(values)


def store_calls(dump):
    store = dump["store"]
    return store["reads"] + store["writes"] + store["watches"] + store["lists"]


def many_workspaces(count):
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
            answer = first.operator_call("PUT", "/v1/lists/plans",
                                         many_workspaces(workspaces).encode(),
                                         {"If-Match": version})
            assert answer.status == 200, answer.body
        time.sleep(4.0)
        pids = [one.process.pid for one in fleet.instances]
        before = dumps(fleet)
        cpu_before = [cpu_seconds(pid) for pid in pids]
        begun = time.monotonic()
        time.sleep(MEASURED_S)
        cpu = [cpu_seconds(pid) - old for pid, old in zip(pids, cpu_before)]
        after = dumps(fleet)
        took = time.monotonic() - begun
        sent = [(new["peers"]["bytes_sent"] - old["peers"]["bytes_sent"]) / took
                for new, old in zip(after, before)]
        calls = [(store_calls(new) - store_calls(old)) / took for new, old in zip(after, before)]
        print("%9d  %9d  %10d  %8.2f%%  %7.1f  %9.2f  %10.2f  %11.2f" % (
            instances, upstreams, workspaces, 100 * mean(cpu) / took,
            mean([resident_mb(pid) for pid in pids]), mean(sent) / 1000, mean(calls),
            sum(calls)), flush=True)


def main():
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--instances", default="2,4,8,16,32")
    options.add_argument("--upstreams", default="12,48,120")
    options.add_argument("--workspaces", default="5,200,1200")
    wanted = options.parse_args()
    print("instances  upstreams  workspaces  core each  MB each  KB/s each  calls/s each  calls/s all")
    port = 26000
    for count in [int(one) for one in wanted.instances.split(",")]:
        measure(count, 24, 5, port)
        port += 300
    for count in [int(one) for one in wanted.upstreams.split(",")]:
        measure(6, count, 5, port)
        port += 300
    for count in [int(one) for one in wanted.workspaces.split(",")]:
        measure(6, 24, count, port)
        port += 300
    return 0


if __name__ == "__main__":
    sys.exit(main())
