"""Compares the time to the first frame through an instance with direct calls of the four stages."""

import http.client
import json
import sys
import time

import fleet as fleets
import load as loads

ROUNDS = 300
STAGES = ["encoders", "retrievers", "rerankers"]


class DirectCaller:
    """Calls one upstream of each pool on persistent connections."""

    def __init__(self, fleet):
        self.connections = {}
        for pool in STAGES + ["menu-engines"]:
            zone = fleet.instances[0].zone
            upstream = next(upstream for upstream in fleet.pool(pool) if upstream.zone == zone)
            host, port = upstream.address.split(":")
            self.connections[pool] = http.client.HTTPConnection(host, int(port), timeout=10)

    def post(self, pool, path, body, attempt):
        headers = {"X-Request-Id": "direct", "X-Stage": pool, "X-Attempt": attempt,
                   "X-Deadline-Ms": "5000", "X-Priority": "0", "X-Workspace": "brecon"}
        connection = self.connections[pool]
        connection.request("POST", path, json.dumps(body).encode(), headers)
        return connection.getresponse()

    def run(self, text, number):
        """Runs all stages; returns the seconds until the first token."""
        started_at = time.monotonic()
        for pool in STAGES:
            text = json.loads(self.post(pool, "/v1/run", {"input": text},
                                        "d%d" % number).read())["output"]
        response = self.post("menu-engines", "/v1/generate",
                             {"input": text, "max_tokens": 4, "resume_from": 0, "model": ""},
                             "d%d" % number)
        response.readline()
        first = time.monotonic() - started_at
        response.read()
        return first


def main():
    defaults = {"warm_after_ms": 200, "stage_ms": 5, "token_ms": 2}
    with fleets.Fleet("gwledd-encil", 3, 28000, upstream_defaults=defaults) as fleet:
        fleet.start()
        time.sleep(3.0)
        direct = DirectCaller(fleet)
        instance_times, direct_times = [], []
        for number in range(ROUNDS):
            text = "overhead %d" % number
            direct_times.append(direct.run(text, number))
            response = fleets.run_pipeline(fleet.instances[0], "menu-plan", text, "brecon",
                                         max_tokens=4)
            if response.is_complete():
                instance_times.append(response.first_frame)
    print("%-10s %8s %8s %8s" % ("", "p50 us", "p95 us", "count"))
    for name, values in (("directly", direct_times), ("instance", instance_times)):
        print("%-10s %8.0f %8.0f %8d" % (name, loads.quantile(values, 0.5) * 1e6,
                                         loads.quantile(values, 0.95) * 1e6, len(values)))
    added_time = loads.quantile(instance_times, 0.5) - loads.quantile(direct_times, 0.5)
    print("added at p50: %.0f us, ratio %.2f" %
          (added_time * 1e6,
           loads.quantile(instance_times, 0.5) / loads.quantile(direct_times, 0.5)))
    return 0 if len(instance_times) == ROUNDS else 1


if __name__ == "__main__":
    sys.exit(main())
