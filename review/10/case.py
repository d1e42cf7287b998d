"""LOST: sound requests are kept out for the first prompt part that they share with a few that crash runners."""
import asyncio
import collections
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))
import standin as s  # noqa: E402

ZONES = ["cymru-west-a", "cymru-west-b", "cymru-west-c"]
HOST, SERVICE, KEY = "pule25.example", "cegin-llm", "9dnn2ctnfzs989anu6ws"
EDGES, RUNNERS = 3, 6
FIRST_PART, SOUND_PART, DEADLY_PART = "5c1e07a2:800", "91bd3f06:410", "e4402b7d:410"
EVENTS, PAUSE_S = 6, 0.06
DOWN_S = 2.0  # of a crashed runner
BEFORE_S, QUIET_S, LOAD_S, PER_S = 8.0, 32.0, 22.0, 6
DEADLY_AT_S = [0.0, 0.3, 0.6, 12.0, 21.9]  # from the end of the quiet time; 0.042 of the requests from then on
SOUND_FROM_S = 3.0
LEAST = 20


def config():
    return {"version": 3, "routes": [
        {"name": "menu-plan", "host": HOST, "path_prefix": "/", "service": SERVICE, "type": "streaming",
         "timeout_ms": 6000, "slo_ms": 1000, "itl_target_ms": 250, "priority": 1, "max_attempts": 1,
         "session_affinity": True, "stream_resume": False, "stages": []}],
        "services": [{"name": SERVICE, "max_connections": 370, "warmup_per_s": 9.3, "health_path": "/healthz",
                      "engine": {"slots": 64, "kv_capacity": 286115}}],
        "tenants": [{"name": "bozi300", "api_keys": [KEY]}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000}}


class FragileRunner(s.Runner):
    """Crashes when it begins to write an answer on the deadly part, and is back some seconds later."""

    fleet = None

    async def run(self, attempt, headers, own, writer):
        await asyncio.sleep(0.1)  # reads the prompt
        if DEADLY_PART in headers["x-prefix-hash"].replace(" ", "").split(","):
            self.fleet.crash(self, attempt)
            return None
        self.fleet.began.add(attempt)
        head = own | {"X-Response-Signature": f"{self.id}.{attempt}", "Content-Type": "text/event-stream",
                      "Transfer-Encoding": "chunked"}
        lines = "".join(f"{name}: {value}\r\n" for name, value in head.items())
        writer.write(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode())
        for number in range(1, EVENTS + 1):
            event = f"id: {number}\ndata: x\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(PAUSE_S)
        return b"0\r\n\r\n"


class Fleet:
    """The runners; each start is a new incarnation with a new id."""

    def __init__(self, store, record):
        self.store, self.record = store, record
        self.began = set()  # attempts of sound requests
        self.crashes = []
        self.count = 0

    async def start(self, place):
        self.count += 1
        runner = FragileRunner(self.store, f"127.{s.NET}.1.{10 + place}", f"i-{0x7f3a9000 + self.count:08x}", SERVICE,
                               ZONES[place % 3])
        runner.fleet, runner.place = self, place
        await runner.start()

    def crash(self, runner, attempt):
        self.crashes.append(s.now())
        self.record.write(f"{runner.id}: crashes on {attempt}")
        runner.end()
        asyncio.create_task(self.come_back(runner))

    async def come_back(self, runner):
        await asyncio.sleep(DOWN_S)
        await self.store.commit("servers", runner.id, None, deleted=True)
        await self.start(runner.place)


async def send(edge, attempt, part):
    request = s.make_request("POST", HOST, "/puxa400/2f", {
        "X-Attempt-Id": attempt, "X-Deadline-Ms": "6000", "Authorization": f"Bearer {KEY}", "X-Model": "m",
        "X-Token-Usage": "1460,80", "X-Prefix-Hash": f"{FIRST_PART},{part},{attempt[-8:]}:250"}, attempt.encode())
    writer = None
    try:
        async with asyncio.timeout(6.5):
            reader, writer = await asyncio.open_connection(*edge.frontend)
            writer.write(request)
            status = int((await reader.readuntil(b"\r\n\r\n")).split(b" ")[1])
            if status == 200:
                await reader.readuntil(b"0\r\n\r\n")
            return status
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0
    finally:
        if writer:
            writer.close()


async def load(edges, record, first, seconds):
    """Sends sound requests at an even rate; (time, attempt) of each."""
    sent, jobs = [], []

    async def one(edge, attempt):
        record.write(f"client: sound {attempt} to {edge.name}: {await send(edge, attempt, SOUND_PART)}")

    for number in range(int(seconds * PER_S)):
        attempt = f"{first + number:016x}"
        sent.append((s.now(), attempt))
        jobs.append(asyncio.create_task(one(edges[number % len(edges)], attempt)))
        await asyncio.sleep(1 / PER_S)
    await asyncio.gather(*jobs)
    return sent


async def case(record, folder, has_trouble):
    store = s.Store(f"127.{s.NET}.0.1", record)
    await store.listen()
    await store.write_call("config", "main", config())
    fleet = Fleet(store, record)
    for place in range(RUNNERS):
        await fleet.start(place)
    edges = [s.Edge(store, n, ZONES[n % 3], ZONES, folder) for n in range(EDGES)]
    try:
        for edge in edges:
            await edge.start()
        for edge in edges:
            await edge.await_ready()
        await asyncio.sleep(4)
        before = await load(edges, record, 0x10000, BEFORE_S)
        await asyncio.sleep(QUIET_S)
        begun = s.now()

        async def send_deadly(number, at):
            await asyncio.sleep(at)
            status = await send(edges[number % EDGES], f"{0xdead0 + number:016x}", DEADLY_PART)
            record.write(f"client: deadly {0xdead0 + number:016x}: {status}")

        jobs = []
        if has_trouble:
            jobs = [asyncio.create_task(send_deadly(number, at)) for number, at in enumerate(DEADLY_AT_S)]
        await asyncio.sleep(SOUND_FROM_S)
        during = await load(edges, record, 0x20000, LOAD_S - SOUND_FROM_S)
        await asyncio.gather(*jobs)

        def began(sent):
            return sum(attempt in fleet.began for _, attempt in sent), len(sent)

        last = fleet.crashes[:5][-1] if fleet.crashes else begun
        counted = [(at, attempt) for at, attempt in during if at >= last + 2 * s.BOUNDS["contact_ms"] / 1000
                   and at <= begun + DEADLY_AT_S[-1]]
        (first, all_first), (then, all_then) = began(before), began(counted)
        record.write(f"{len(fleet.crashes)} crashes; sound requests that began: {first} of {all_first} before, {then} of "
                     f"{all_then} beside the others")
        if min(all_first, all_then) < LEAST or 2 * first < all_first:
            raise s.CannotRun("too few requests to tell")
        return s.BROKEN if then / all_then < first / all_first / 2 else s.HELD
    finally:
        for edge in edges:
            await edge.stop()


s.play(case, FOLDER)
