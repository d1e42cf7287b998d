"""Runners break off a few answers without a length, before they have read a long request."""

import asyncio
import os
import pathlib
import socket
import struct
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

import deployment  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WINDOWS = [(start, 5.0) for start in (4.0, 10.0, 16.0, 22.0, 28.0, 34.0, 40.0, 46.0)]
FAULTY_RUNNERS = 1  # of three
EVERY = 38  # one answer in 38: x = 0.026
LENGTH_S = 52.0
REQUESTS_PER_S = 11.0
REQUEST_BYTES = int(os.environ.get("REQUEST_BYTES", "4000000"))  # `max_body_bytes` is 4,194,304
RECEIVE_BYTES = 16 * 1024  # a small window: a runner that does not read blocks the writer
TIMEOUT_S = 0.6

state = {"fault": False, "answers": 0}
broken_off = set()
outcomes = {}
mixed = []


def whole_answer(attempt):
    return (attempt.encode() * 50)[:800]


async def break_off(runner, headers, writer):
    """Sends half of an answer that ends with its connection, and resets the connection."""
    state["answers"] += 1 if state["fault"] else 0
    if not (TROUBLE and state["fault"]) or state["answers"] % EVERY != 0:
        return False
    attempt = headers["x-attempt-id"]
    broken_off.add(attempt)
    runner.deployment.record.write(f"runner {runner.id} runs {attempt} before it has read its "
                                   "body, and breaks its answer off")
    await asyncio.sleep(0.015)
    writer.write(f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\n"
                 f"X-Response-Signature: sig.{attempt}\r\n\r\n".encode() +
                 whole_answer(attempt)[:400])
    await writer.drain()
    await asyncio.sleep(0.05)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                               struct.pack("ii", 1, 0))
    writer.transport.abort()
    return True


async def main():
    d = deployment.Deployment(HERE / "record.txt")
    try:
        await d.start(edges=8, plain=3, receive_bytes=RECEIVE_BYTES, keep_alive_s=1)
        plain = [runner for runner in d.runners if runner.service == "archebu"]
        for runner in plain[:FAULTY_RUNNERS]:
            runner.on_head = break_off
        load = deployment.Load(d, 40)
        body = b"b" * REQUEST_BYTES

        def judge(attempt):
            def on_end(outcome, took, received):
                outcomes[outcome] = outcomes.get(outcome, 0) + 1
                if outcome == 200 and received != whole_answer(attempt):
                    mixed.append(attempt)
                    d.record.write(f"MIXED: {attempt} gets 200 with {len(received)} bytes of "
                                   f"{len(whole_answer(attempt))} as a whole answer")
            return on_end

        number = 0
        while load.elapsed() < LENGTH_S:
            state["fault"] = deployment.is_within(load.elapsed(), WINDOWS)
            number += 1
            attempt = f"{number:016x}"
            await load.send_plain("order.example", attempt, TIMEOUT_S, 0.3, judge(attempt), body)
            await load.pause(REQUESTS_PER_S)
        await load.finish()
        print(f"outcomes {outcomes}; answers broken off {len(broken_off)}; answers of 200 with a "
              f"part of the runner's body {len(mixed)} (one breaks MIXED)")
        return 1 if mixed else 0
    finally:
        await d.stop()


deployment.run(main)
