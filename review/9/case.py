"""FAILBACK after a rolling restart during which the store's answers are lost and its writes carried out late."""
import asyncio
import collections
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))
import standin as s  # noqa: E402

ZONES = ["cymru-west-a", "cymru-west-b", "cymru-west-c"]
HOST, SERVICE = "jeye25.example", "cegin-llm"
EDGES = 3
WARMUP_PER_S, WARMUP_S = 9.3, 3.0
BOUND = WARMUP_PER_S * s.BOUNDS["warmup_overshoot"] + s.BOUNDS["warmup_tolerance"]  # requests in one second
LATE_S = 5.0  # of 1 to 6
# The rule counts requests that were sent and arrived in the same second. A request arrives within this time of being
# sent, so that those which arrive in a second less this time were all sent in that second as well.
TRANSIT_S = 0.05
CRASH_RATE = 2 * BOUND  # "crashes at a rate well above that"
RATE, LOAD_FROM, LOAD_TO = 60, -2.0, 4.0  # requests a second, all edges together; around the start of the runner


def config():
    return {"version": 3, "routes": [
        {"name": "book-visit", "host": HOST, "path_prefix": "/", "service": SERVICE, "type": "non_idempotent",
         "timeout_ms": 3000, "slo_ms": 300, "priority": 0, "max_attempts": 1, "session_affinity": False,
         "stream_resume": False, "public": True, "stages": []}],
        "services": [{"name": SERVICE, "max_connections": 370, "warmup_per_s": WARMUP_PER_S,
                      "health_path": "/healthz"}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000}}


class ColdRunner(s.Runner):
    """Crashes while it is cold if more requests than it bears reach it in a second."""

    has_crashed = False

    async def run(self, attempt, headers, own, writer):
        recent = sum(1 for at, _ in self.arrivals if at > s.now() - 1)
        if s.now() < self.cold_until and recent > CRASH_RATE and not self.has_crashed:
            self.has_crashed = True
            self.store.record.write(f"{self.id}: crashes with {self.running} requests, at {recent} in a second")
            self.end()
            return None
        return await super().run(attempt, headers, own, writer)


async def clients(edges, record, until, statuses):
    """Sends requests at an even rate to the edges in turn, each on a connection of its own."""
    number, jobs = 0, []

    async def one(edge, attempt):
        request = s.make_request("POST", HOST, "/2f", {"X-Attempt-Id": attempt, "X-Deadline-Ms": "3000"})
        status, _, _ = await s.send(edge, request, 4)
        statuses[status] += 1
        record.write(f"client: {attempt} to {edge.name}: {status}")

    while s.now() < until:
        number += 1
        jobs.append(asyncio.create_task(one(edges[number % len(edges)], f"{number:016x}")))
        await asyncio.sleep(1 / RATE)
    await asyncio.gather(*jobs)


async def case(record, folder, has_trouble):
    store = s.Store(f"127.{s.NET}.0.1", record)
    await store.listen()
    await store.write_call("config", "main", config())
    old = s.Runner(store, f"127.{s.NET}.1.10", "i-7f3a91c2", SERVICE, ZONES[0])
    others = [s.Runner(store, f"127.{s.NET}.1.{20 + n}", f"i-0000000{n}", "archebu", ZONES[n % 3]) for n in range(3)]
    for runner in [old, *others]:
        await runner.start()
    edges = [s.Edge(store, n, ZONES[n % 3], ZONES, folder) for n in range(EDGES)]
    new = None
    try:
        for edge in edges:
            await edge.start()
        for edge in edges:
            await edge.await_ready()
        await asyncio.sleep(2)

        # Planned work: each machine is stopped and started in turn. The disruption: the answers to the writes of a
        # stopping machine are lost, and the writes are carried out late.
        calls_before, begun = store.write_calls, s.now()
        if has_trouble:
            store.late_for = lambda method, kind, name: LATE_S if method == "DELETE" else None
        for edge in edges:
            await edge.restart_after_term()
            await edge.await_ready()
        store.late_for = lambda method, kind, name: None
        record.write(f"rolling restart done after {s.now() - begun:.1f} s: {store.late_writes} of "
                     f"{store.write_calls - calls_before} writes were lost and late")
        await asyncio.sleep(16)  # far beyond contact_ms; the store and all machines are sound

        members = [name for kind, name in store.objects if kind not in ("servers", "config")]
        record.write(f"objects of the system in the store: {members}")

        # Planned work: the runner is replaced; the new one starts first and is cold.
        statuses = collections.Counter()
        load = asyncio.create_task(clients(edges, record, s.now() + LOAD_TO - LOAD_FROM, statuses))
        await asyncio.sleep(-LOAD_FROM)
        new = ColdRunner(store, f"127.{s.NET}.1.11", "i-91bd3f06", SERVICE, ZONES[1])
        new.cold_until = s.now() + WARMUP_S
        await new.start()
        record.write(f"{new.id}: started, cold for {WARMUP_S} s")
        await asyncio.sleep(0.2)
        old.phase = "draining"
        await old.write_entry()
        record.write(f"{old.id}: draining")
        await load
        cold = [at for at, _ in new.arrivals if at < new.cold_until]
        most = max((sum(1 for other in cold if at <= other < at + 1 - TRANSIT_S) for at in cold), default=0)
        record.write(f"answers: {dict(statuses)}")
        record.write(f"requests that reached the cold runner: {len(cold)}; at most {most} in one second, of {BOUND}")
        if not cold:
            raise s.CannotRun("no request reached the cold runner")
        return s.BROKEN if most > BOUND else s.HELD
    finally:
        for edge in edges:
            await edge.stop()


s.play(case, FOLDER)
