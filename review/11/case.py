"""Entries of another writer stand in the list of runners; then all processes are killed once.

Checks RECOVER: "Of the requests sent later than `recovery_s` after the machines are back, less than a
quarter is served, though a quarter or more was before the final fault."
"""
import asyncio
import os
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))
import fleet as stand  # noqa: E402
from fleet import TROUBLE, now  # noqa: E402

HOST = "stock.example"
RUNNERS = 25  # as many as the site has
PAGE_ITEMS = 50  # `page` of the site file; PROTOCOL.md: "about 500 [...] at most"
ODD_ENTRIES = 30
NAME = os.environ.get("NAME", "spare runner {:02d}")
REQUESTS_PER_S = 5
BEFORE_S, RECOVERY_S, AFTER_S = 8.0, 12.0, 20.0


def configuration():
    return {
        "version": 1,
        "routes": [{"name": "stock-check", "host": HOST, "path_prefix": "/", "service": "archebu",
                    "type": "idempotent", "timeout_ms": 600, "slo_ms": 100, "priority": 2,
                    "max_attempts": 2, "public": True}],
        "services": [{"name": "archebu", "max_connections": 110, "health_path": "/healthz"}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 5000, "idle_timeout_ms": 10000}}


class PlainRunner(stand.Runner):
    async def answer(self, method, target, headers, body, writer):
        if method == "GET":
            return self.health(writer)
        attempt = headers.get("x-attempt-id", "")
        if headers.get("x-expect-instance", self.id) != self.id:
            return self.refuse(421, attempt, writer)
        self.fleet.record.write(f"runner {self.id} runs {attempt}")
        await asyncio.sleep(0.015)
        writer.write(stand.message("HTTP/1.1 200 OK", self.headers(attempt), b"a" * 800))
        return True


class Request:
    def __init__(self, fleet, number):
        self.fleet, self.number = fleet, number
        self.attempt = f"{fleet.random.getrandbits(64):016x}"
        self.sent_at = now()
        self.is_served = False

    async def run(self):
        """As a client does: at a machine that is ready, or at any if none is."""
        ready = [edge for edge in self.fleet.edges if edge.is_ready] or self.fleet.edges
        edge = ready[self.number % len(ready)]
        status, complete, _ = await stand.send_request(self.fleet, edge, HOST, self.attempt, {},
                                                       limit_s=0.6)
        self.is_served = status == 200 and complete
        self.fleet.record.write(f"client attempt {self.attempt} at {edge.name}: {status}")


def share_served(requests):
    return sum(one.is_served for one in requests) / max(1, len(requests))


async def case():
    fleet = stand.Fleet(HERE)
    fleet.store.page_items = PAGE_ITEMS
    fleet.runners = [PlainRunner(fleet, "archebu", number, 6) for number in range(RUNNERS)]
    requests, running = [], []
    killed_at = back_at = None
    try:
        await fleet.start(configuration())
        if TROUBLE:
            for number in range(ODD_ENTRIES):  # fields are missing: no runner to use
                await fleet.store.put("servers", NAME.format(number + 1), {"service": "archebu"})
            fleet.record.write(f"another writer has written {ODD_ENTRIES} entries, the first is "
                               f"{NAME.format(1)!r}")
        began = now()
        while back_at is None or now() < back_at + RECOVERY_S + AFTER_S:
            if killed_at is None and now() > began + BEFORE_S:
                fleet.record.write("all processes are killed")
                killed_at = now()
                starts = [edge.starts for edge in fleet.edges]
                for edge in fleet.edges:
                    edge.signal(signal.SIGKILL)
            if killed_at and back_at is None and all(
                    edge.starts > count for edge, count in zip(fleet.edges, starts)):
                back_at = now()
                fleet.record.write("all machines are back")
            requests.append(Request(fleet, len(requests)))
            running.append(asyncio.create_task(requests[-1].run()))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.gather(*running)
    finally:
        await fleet.stop()
    before = [one for one in requests if one.sent_at < killed_at]
    after = [one for one in requests if one.sent_at > back_at + RECOVERY_S]
    summary = (f"served {share_served(before):.2f} of {len(before)} before the fault, "
               f"{share_served(after):.2f} of {len(after)} from {RECOVERY_S:.0f} s after the "
               f"machines were back")
    fleet.record.write(summary)
    print(summary)
    if share_served(before) < 0.25:
        return stand.EXIT_NOT_RUN
    return stand.EXIT_BROKEN if share_served(after) < 0.25 else stand.EXIT_HELD


stand.run_case(case)
