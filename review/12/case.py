"""One request names an X-Chunk-Key with a byte that isn't UTF-8; sound requests of others follow.

Checks Fault: "if no request is served". All routes of this deployment have stages.
"""
import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))
import fleet as stand  # noqa: E402
from fleet import TROUBLE, now  # noqa: E402

HOST = "plan.example"
REQUESTS_PER_S = 4
LEAD_S = 3.0  # the sound requests begin so long after the other one
TRAFFIC_S = 40.0
STAGES = [("llety", 3), ("cyflenwyr", 5)]


def configuration():
    stage = {"slots": 1, "queue": 2, "batch": 8, "call_ms": 150.0, "item_ms": 16.0,
             "headroom_mb": 36.0, "handle_ttl_s": 4.0, "bandwidth_mbps": 10000.0}
    return {
        "version": 1,
        "routes": [{"name": "menu-plan", "host": HOST, "path_prefix": "/", "service": "cegin-llm",
                    "type": "streaming", "timeout_ms": 6000, "slo_ms": 1000, "itl_target_ms": 250,
                    "priority": 0, "max_attempts": 1, "session_affinity": True, "public": True,
                    "stages": [{"service": "llety", "after": [], "length": 200000},
                               {"service": "cyflenwyr", "after": [0], "length": 100000}]}],
        "services": [{"name": "cegin-llm", "max_connections": 370, "health_path": "/healthz"}] +
                    [{"name": name, "max_connections": 370, "health_path": "/healthz",
                      "segments": stage} for name, _ in STAGES],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 5000, "idle_timeout_ms": 10000}}


class Request:
    def __init__(self, fleet, number, key):
        self.fleet, self.number, self.key = fleet, number, key
        self.attempt = f"{fleet.random.getrandbits(64):016x}"
        self.sent_at = now()
        self.status, self.complete = None, False

    async def run(self):
        edge = self.fleet.edges[self.number % len(self.fleet.edges)]
        self.status, self.complete, headers = await stand.send_request(
            self.fleet, edge, HOST, self.attempt,
            {"X-Model": "m", "X-Token-Usage": "715,280", "X-Chunk-Count": "4,2",
             "X-Chunk-Key": self.key,
             "X-Prefix-Hash": f"{self.number % 12 + 1:08x}:172,{self.number + 4096:08x}:543"},
            limit_s=6.0)
        self.fleet.record.write(
            f"client attempt {self.attempt} at {edge.name}: {self.status}, "
            f"{'complete' if self.complete else 'incomplete'}, after {now() - self.sent_at:.2f} s, "
            f"Retry-After {headers.get('retry-after', 'none')}")


def calls_of(fleet):
    return sum(runner.calls for runner in fleet.runners if isinstance(runner, stand.StageRunner))


def served(requests):
    return sum(one.status == 200 and one.complete for one in requests)


async def case():
    fleet = stand.Fleet(HERE)
    fleet.runners = [stand.StreamRunner(fleet, "cegin-llm", number, events=13)
                     for number in range(9)]
    for runner in fleet.runners:
        runner.needs_inputs = True
    for name, count in STAGES:
        fleet.runners += [stand.StageRunner(fleet, name, len(fleet.runners) + n)
                          for n in range(count)]
    requests, running = [], []
    try:
        await fleet.start(configuration())
        # é in Latin-1, which a field value may hold (RFC 9110, section 5.5: obs-text)
        key = "caf\u00e91e07a291bd" if TROUBLE else "caf11e07a291bd"
        fleet.record.write("client sends " + ("the request with the malformed key" if TROUBLE
                                              else "the same request with a plain key"))
        odd = Request(fleet, 1, key)
        running.append(asyncio.create_task(odd.run()))
        await asyncio.sleep(LEAD_S)
        calls_before = calls_of(fleet)
        began = now()
        while now() < began + TRAFFIC_S:
            number = len(requests)
            requests.append(Request(fleet, number, f"{fleet.random.getrandbits(48):012x}"))
            running.append(asyncio.create_task(requests[-1].run()))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.gather(*running)
    finally:
        await fleet.stop()
    summary = (f"sound requests served: {served(requests)} of {len(requests)}; calls that the stage "
               f"runners got for them: {calls_of(fleet) - calls_before}; the other request: "
               f"{odd.status}")
    fleet.record.write(summary)
    print(summary)
    if not TROUBLE and served(requests) < len(requests) / 2:
        return stand.EXIT_NOT_RUN
    return stand.EXIT_BROKEN if served(requests) == 0 else stand.EXIT_HELD


stand.run_case(case)
