"""Computes expected responses independently of the system.

A stand-in's output is a pure function of its input.
"""

import json
import subprocess
import threading

import fleet as fleets

MASK = (1 << 64) - 1
KEPT_INPUT_BYTES = 512
VOCABULARY_SIZE = 50000
DIGITS = "0123456789abcdefghijklmnopqrstuvwxyz"


def fnv1a(text):
    value = 14695981039346656037
    for byte in text.encode():
        value = ((value ^ byte) * 1099511628211) & MASK
    return value


def splitmix64(value):
    value = (value + 0x9e3779b97f4a7c15) & MASK
    value = ((value ^ (value >> 30)) * 0xbf58476d1ce4e5b9) & MASK
    value = ((value ^ (value >> 27)) * 0x94d049bb133111eb) & MASK
    return value ^ (value >> 31)


def to_base(value, base):
    digits = ""
    while True:
        value, remainder = divmod(value, base)
        digits = DIGITS[remainder] + digits
        if value == 0:
            return digits


def stage_output(pool, text):
    return text[:KEPT_INPUT_BYTES] + " |" + pool + ":" + to_base(fnv1a(text), 16)


def tokens(text, count):
    seed = fnv1a(text)
    return [to_base(splitmix64((seed + index) & MASK) % VOCABULARY_SIZE, 36) + " "
            for index in range(count)]


class ResponseChecker:
    """Compares the responses to pipeline requests with the expected tokens and digest."""

    def __init__(self, fleet):
        settings = fleet.read_settings()
        self.pools = {}
        for section in settings.sections():
            if section.startswith("pipeline "):
                stages = settings[section]["stages"].split(",")
                self.pools[section[len("pipeline "):]] = [stage.split(":")[1].strip()
                                                         for stage in stages]
        program = fleets.BUILD + "/bench/faults/answer_digest"
        self.process = subprocess.Popen([program], stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        self.lock = threading.Lock()

    def close(self):
        self.process.stdin.close()
        self.process.wait()

    def digest(self, text):
        with self.lock:
            self.process.stdin.write((json.dumps(text) + "\n").encode())
            self.process.stdin.flush()
            return self.process.stdout.readline().decode().strip()

    def expected_tokens(self, pipeline, text, count):
        for pool in self.pools[pipeline][:-1]:
            text = stage_output(pool, text)
        return tokens(text, count)

    def find_error(self, pipeline, text, count, response):
        """Describes the first error in a response; empty if there is none.

        An incomplete response has no error if its frames are numbered and its tokens are right.
        """
        frames = response.frames
        if [frame.get("frame") for frame in frames] != list(range(len(frames))):
            return "frames not numbered from 0 without a gap"
        expected = self.expected_tokens(pipeline, text, count)
        received = [frame["token"] for frame in frames if "token" in frame]
        if received != expected[:len(received)]:
            return "wrong tokens"
        if not response.is_complete():
            return ""
        if len(received) != count:
            return "tokens missing"
        if frames[-1].get("digest") != self.digest("".join(received)):
            return "wrong digest"
        return ""
