"""One request names a large number of pieces in X-Chunk-Count; sound requests run beside it.

Checks LOST: "a machine in touch passes a request from a kept connection on to a sound runner and closes
that connection without an answer, more than three times". A process that exceeds its memory is killed,
which counts as an end of its own.
"""
import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))
import fleet as stand  # noqa: E402
from fleet import TROUBLE, now  # noqa: E402

HOST = "plan.example"
CLIENTS = 24
LARGE_COUNT = 30_000_000  # as of a client that names the bytes of its input instead of its chunks
LARGE_AT_S, TRAFFIC_S = 8.0, 20.0
STAGES = [("llety", 3), ("cyflenwyr", 5)]
MAX_LOST = 3


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
    def __init__(self, fleet, number, pieces):
        self.fleet, self.number, self.pieces = fleet, number, pieces
        self.attempt = f"{fleet.random.getrandbits(64):016x}"
        self.status, self.complete, self.was_kept = None, False, False

    async def run(self, caller):
        self.was_kept = caller.is_kept
        self.status, self.complete, _ = await caller.request(
            HOST, self.attempt,
            {"X-Model": "m", "X-Token-Usage": "715,280", "X-Chunk-Count": f"{self.pieces},2",
             "X-Chunk-Key": self.attempt[:12],
             "X-Prefix-Hash": f"{self.number % 12 + 1:08x}:172,{self.number + 4096:08x}:543"},
            limit_s=6.0)
        self.fleet.record.write(
            f"client attempt {self.attempt} ({self.pieces} pieces) at {caller.edge.name}: "
            f"{self.status}, {'complete' if self.complete else 'incomplete'}"
            f"{', on a kept connection' if self.was_kept else ''}")

    def is_lost(self):
        """Passed on from a kept connection that was closed without a complete answer."""
        return (self.was_kept and not self.complete and self.status in (None, 200)
                and self.attempt in self.fleet.runs)


async def send_one_after_the_other(fleet, number, until, requests):
    caller = stand.Caller(fleet, fleet.edges[number % len(fleet.edges)])
    await asyncio.sleep(0.1 * number)
    while now() < until:
        requests.append(Request(fleet, len(requests), 2))
        await requests[-1].run(caller)
        await asyncio.sleep(0.2)
    caller.close()


async def case():
    fleet = stand.Fleet(HERE)
    fleet.runners = [stand.StreamRunner(fleet, "cegin-llm", number, events=26)
                     for number in range(9)]
    for runner in fleet.runners:
        runner.needs_inputs = True
    for name, count in STAGES:
        fleet.runners += [stand.StageRunner(fleet, name, len(fleet.runners) + n)
                          for n in range(count)]
    requests = []
    try:
        await fleet.start(configuration())
        began = now()
        clients = [asyncio.create_task(
            send_one_after_the_other(fleet, number, began + TRAFFIC_S, requests))
            for number in range(CLIENTS)]
        await asyncio.sleep(LARGE_AT_S)
        large = Request(fleet, 0, LARGE_COUNT if TROUBLE else 2)
        caller = stand.Caller(fleet, fleet.edges[0])
        await large.run(caller)
        caller.close()
        await asyncio.gather(*clients)
    finally:
        await fleet.stop()
    lost = [one for one in requests if one.is_lost()]
    served = sum(one.status == 200 and one.complete for one in requests)
    summary = (f"ends over the memory limit by machine: {[len(edge.ends) for edge in fleet.edges]}; "
               f"most memory: {[round(edge.most_mb) for edge in fleet.edges]} MB; sound requests "
               f"{len(requests)}, served {served}, run from kept connections that were closed "
               f"without a complete answer {len(lost)}")
    fleet.record.write(summary)
    print(summary)
    if served < len(requests) / 4:
        return stand.EXIT_NOT_RUN
    return stand.EXIT_BROKEN if len(lost) > MAX_LOST else stand.EXIT_HELD


stand.run_case(case)
