"""What a right answer is, computed apart from the system: the stand-ins are pure functions."""

import json
import subprocess
import threading

import fleet as fleets

MASK = (1 << 64) - 1
KEPT_INPUT_BYTES = 512
TOKEN_KINDS = 50000
DIGITS = "0123456789abcdefghijklmnopqrstuvwxyz"


def fnv1a(text):
    value = 14695981039346656037
    for byte in text.encode():
        value = ((value ^ byte) * 1099511628211) & MASK
    return value


def mix(value):
    value = (value + 0x9e3779b97f4a7c15) & MASK
    value = ((value ^ (value >> 30)) * 0xbf58476d1ce4e5b9) & MASK
    value = ((value ^ (value >> 27)) * 0x94d049bb133111eb) & MASK
    return value ^ (value >> 31)


def in_base(value, base):
    digits = ""
    while True:
        value, rest = divmod(value, base)
        digits = DIGITS[rest] + digits
        if value == 0:
            return digits


def stage_output(pool, text):
    return text[:KEPT_INPUT_BYTES] + " |" + pool + ":" + in_base(fnv1a(text), 16)


def tokens(text, count):
    seed = fnv1a(text)
    return [in_base(mix((seed + index) & MASK) % TOKEN_KINDS, 36) + " " for index in range(count)]


class Judge:
    """Compares answers with what they have to be."""

    def __init__(self, fleet):
        settings = fleet.read_settings()
        self.pools = {}
        for section in settings.sections():
            if section.startswith("pipeline "):
                stages = settings[section]["stages"].split(",")
                self.pools[section[len("pipeline "):]] = [one.split(":")[1].strip()
                                                         for one in stages]
        program = fleets.BUILD + "/bench/faults/answer_digest"
        self.process = subprocess.Popen([program], stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        self.lock = threading.Lock()

    def end(self):
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

    def fault_of(self, pipeline, text, count, answer):
        """Empty if all that came is right: numbered, the right tokens, the right digest."""
        frames = answer.frames
        if [frame.get("frame") for frame in frames] != list(range(len(frames))):
            return "frames not numbered"
        wanted = self.expected_tokens(pipeline, text, count)
        came = [frame["token"] for frame in frames if "token" in frame]
        if came != wanted[:len(came)]:
            return "wrong tokens"
        if not answer.whole():
            return ""
        if len(came) != count:
            return "tokens missing"
        if frames[-1].get("digest") != self.digest("".join(came)):
            return "wrong digest"
        return ""
