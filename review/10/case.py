"""DENIED: kept connections are held to the limits of the configuration that was in force when they became idle."""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))
import standin as s  # noqa: E402

ZONES = ["cymru-west-a", "cymru-west-b", "cymru-west-c"]
HOST, SERVICE = "jeye25.example", "archebu"
EDGES, CONNECTIONS = 3, 24
OLD_LIMIT, NEW_LIMIT, BODY_BYTES = 1 << 20, 4 << 20, 3 << 19
IDLE_TIMEOUT_MS = 15000
WAIT_S = 6.0  # from the acknowledgement to the requests: over config_apply_ms, under four fifths of the idle timeout


def config(version, max_body_bytes):
    return {"version": version, "routes": [
        {"name": "order-confirm", "host": HOST, "path_prefix": "/", "service": SERVICE, "type": "non_idempotent",
         "timeout_ms": 3000, "slo_ms": 300, "priority": 0, "max_attempts": 1, "session_affinity": False,
         "stream_resume": False, "public": True, "stages": []}],
        "services": [{"name": SERVICE, "max_connections": 110, "warmup_per_s": 0, "health_path": "/healthz"}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": max_body_bytes, "header_timeout_ms": 3000,
                   "idle_timeout_ms": IDLE_TIMEOUT_MS}}


class Client:
    """Keeps its connection open between its requests."""

    def __init__(self, number, edge, record):
        self.number, self.edge, self.record, self.sent = number, edge, record, 0

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(*self.edge.frontend)

    async def request(self, body):
        self.sent += 1
        attempt = f"{self.number:08x}{self.sent:08x}"
        status = 0
        try:
            async with asyncio.timeout(4):
                self.writer.write(s.make_request("POST", HOST, "/2f", {"X-Attempt-Id": attempt,
                                                                       "X-Deadline-Ms": "3000"}, body))
                message = await s.read_message(self.reader)
                status = int(message[0].split(" ")[1]) if message else 0
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        self.record.write(f"client {self.number}: {attempt}, {len(body)} bytes to {self.edge.name}: {status}")
        return status


async def case(record, folder, has_trouble):
    store = s.Store(f"127.{s.NET}.0.1", record)
    await store.listen()
    await store.write_call("config", "main", config(3, OLD_LIMIT if has_trouble else NEW_LIMIT))
    runners = [s.Runner(store, f"127.{s.NET}.1.{10 + n}", f"i-0000000{n}", SERVICE, ZONES[n], slots=6)
               for n in range(3)]
    for runner in runners:
        await runner.start()
    edges = [s.Edge(store, n, ZONES[n % 3], ZONES, folder) for n in range(EDGES)]
    try:
        for edge in edges:
            await edge.start()
        for edge in edges:
            await edge.await_ready()
        await asyncio.sleep(4)
        clients = [Client(number, edges[number % EDGES], record) for number in range(CONNECTIONS)]
        for client in clients:
            await client.open()
        first = await asyncio.gather(*(client.request(b"small") for client in clients))
        if set(first) != {200}:
            raise s.CannotRun(f"the first requests weren't served: {first}")
        if has_trouble:
            await store.write_call("config", "main", config(8, NEW_LIMIT))
            record.write(f"operator: version 8 acknowledged, max_body_bytes {OLD_LIMIT} to {NEW_LIMIT}")
        await asyncio.sleep(WAIT_S)
        second = [await client.request(bytes(BODY_BYTES)) for client in clients]
        fresh = Client(CONNECTIONS, edges[0], record)
        await fresh.open()
        record.write(f"on a new connection: {await fresh.request(bytes(BODY_BYTES))}")
        total = 2 * CONNECTIONS + 1
        denied = sum(300 <= status < 500 and status not in (408, 421, 429) for status in second)
        record.write(f"{denied} of {total} requests were denied, of {5 + total / 500:.1f}; answers {second}")
        return s.BROKEN if denied > 5 + total / 500 else s.HELD
    finally:
        for edge in edges:
            await edge.stop()


s.play(case, FOLDER)
