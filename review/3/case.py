"""Runners send a few answers with bytes that are no answer, without end, in the body."""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

import deployment  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BYTES_PER_S = 60e6  # under half of a machine's link
WINDOWS = [(start, 5.0) for start in (5.0, 15.0, 25.0, 35.0)]
FAULTY_RUNNERS = 3  # of nine
EVERY = 20  # one answer in 20
LENGTH_S = 45.0
REQUESTS_PER_S = 22.0

state = {"fault": False, "answers": 0}
endless = set()


async def send_endless(runner, attempt, own, writer):
    """Answers with a head and then zeros where the size of a chunk is due, until the close."""
    state["answers"] += 1
    if not (TROUBLE and state["fault"]) or state["answers"] % EVERY != 0:
        return False
    endless.add(attempt)
    runner.deployment.record.write(f"runner {runner.id} answers {attempt} without end")
    lines = [f"{name}: {value}" for name, value in own.items()]
    writer.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + "\r\n".join(lines) +
                  "\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
    piece = b"0" * 256 * 1024
    sent = 0
    started = deployment.now()
    try:
        while True:
            writer.write(piece)
            await writer.drain()
            sent += len(piece)
            await asyncio.sleep(max(0, sent / BYTES_PER_S - (deployment.now() - started)))
    except OSError:
        runner.deployment.record.write(
            f"the answer to {attempt} ends with the connection, after {sent / 1e6:.0f} MB")
    return True


async def main():
    d = deployment.Deployment(HERE / "record.txt")
    lost = []
    outcomes = {}
    try:
        await d.start()
        for runner in d.runners[:FAULTY_RUNNERS]:
            runner.fault = send_endless
        load = deployment.Load(d, 45)

        def judge(attempt):
            def on_end(outcome, kept):
                outcomes[outcome] = outcomes.get(outcome, 0) + 1
                if outcome == "closed" and kept and attempt in d.ran and attempt not in endless:
                    lost.append(attempt)
                    d.record.write(f"LOST {attempt}: passed on to {d.ran[attempt]}, no answer")
            return on_end

        number = 0
        while load.elapsed() < LENGTH_S:
            state["fault"] = deployment.is_within(load.elapsed(), WINDOWS)
            number += 1
            attempt = f"{number:016x}"
            await load.send(attempt, {"X-Prefix-Hash": f"{number % 12:08x}:172,{number:08x}:543"},
                            judge(attempt))
            await load.pause(REQUESTS_PER_S)
        await load.finish()
        ends = {edge.name: edge.own_ends for edge in d.edges}
        peaks = {edge.name: round(edge.peak_mb) for edge in d.edges}
        print(f"outcomes {outcomes}; answers without end {len(endless)}; processes killed for "
              f"their memory {ends}, peak MB {peaks}; LOST {len(lost)} (more than 3 break it)")
        return 1 if len(lost) > 3 else 0
    finally:
        await d.stop()


deployment.run(main)
