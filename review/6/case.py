"""UNASKED: a request is run that stands in the body of another one, whose Transfer-Encoding doesn't end with chunked."""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))
import standin as s  # noqa: E402

ZONES = ["cymru-west-a", "cymru-west-b", "cymru-west-c"]
HOST, SERVICE, KEY = "jepu9.example", "archebu", "9dnn2ctnfzs989anu6ws"
EDGES = 3
CODINGS = ["gzip", "deflate", "identity"]


def config():
    return {"version": 3, "routes": [
        {"name": "order-confirm", "host": HOST, "path_prefix": "/", "service": SERVICE, "type": "non_idempotent",
         "timeout_ms": 2000, "slo_ms": 300, "priority": 0, "max_attempts": 1, "session_affinity": False,
         "stream_resume": False, "stages": []}],
        "services": [{"name": SERVICE, "max_connections": 110, "warmup_per_s": 0, "health_path": "/healthz"}],
        "tenants": [{"name": "bozi300", "api_keys": [KEY]}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000}}


class ServiceRunner(s.Runner):
    """Notes each request that it runs, with its path and the length of its body."""

    def __init__(self, *arguments, ran, **named):
        super().__init__(*arguments, **named)
        self.ran = ran

    async def answer(self, method, target, headers, body, writer):
        attempt = headers.get("x-attempt-id", "")
        self.ran.append((attempt, method, target, len(body)))
        self.store.record.write(f"{self.id}: runs {attempt}: {method} {target}, {len(body)} bytes of a body")
        return await super().answer(method, target, headers, body, writer)


def order(attempt, path, extra, body):
    lines = [f"POST {path} HTTP/1.1", f"Host: {HOST}", f"X-Attempt-Id: {attempt}", "X-Deadline-Ms: 2000",
             f"Authorization: Bearer {KEY}", *extra]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def send(edge, made, record):
    """Sends the bytes on a new connection and returns the statuses that come back."""
    statuses, writer = [], None
    try:
        async with asyncio.timeout(1.5):
            reader, writer = await asyncio.open_connection(*edge.frontend)
            writer.write(made)
            while (message := await s.read_message(reader)) is not None:
                statuses.append(int(message[0].split(" ")[1]))
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer:
            writer.close()
    return statuses


async def case(record, folder, has_trouble):
    store = s.Store(f"127.{s.NET}.0.1", record)
    await store.listen()
    await store.write_call("config", "main", config())
    ran = []
    runners = [ServiceRunner(store, f"127.{s.NET}.1.{10 + n}", f"i-0000000{n}", SERVICE, ZONES[n], slots=6, ran=ran)
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
        sent = {}  # attempt id: length of its body
        for number, (edge, coding) in enumerate(zip(edges, CODINGS)):
            # The body is a note that quotes another request; nobody sends that one.
            note = order(f"{0xbad0 + number:016x}", "/quoted/2f", ["Content-Length: 0"], b"")
            attempt = f"{0x1000 + number:016x}"
            sent[attempt] = len(note)
            framing = f"Transfer-Encoding: {coding}" if has_trouble else f"Content-Length: {len(note)}"
            statuses = await send(edge, order(attempt, "/notes/2f", [framing], note), record)
            record.write(f"client: {attempt} to {edge.name}, {framing}, a body of {len(note)} bytes: {statuses}")
        unasked = [attempt for attempt, *_ in ran if attempt not in sent]
        changed = [attempt for attempt, _, _, size in ran if attempt in sent and size != sent[attempt]]
        record.write(f"requests that ran though no client sent them: {unasked}; with a changed body: {changed}")
        if not has_trouble and len(ran) != len(sent):
            raise s.CannotRun(f"{len(ran)} of {len(sent)} requests ran")
        return s.BROKEN if unasked or changed else s.HELD
    finally:
        for edge in edges:
            await edge.stop()


s.play(case, FOLDER)
