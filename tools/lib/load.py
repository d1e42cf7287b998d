"""A bounded load of pipeline requests from threads, with one record for each request."""

import threading
import time

import fleet as fleets


class Record:
    """How one request ended, as its caller saw it."""

    def __init__(self, at, instance, outcome, took, first_frame, in_time, detail=""):
        self.at = at                # seconds since the load began
        self.instance = instance    # index
        self.outcome = outcome      # whole, refused, broken or no_answer
        self.took = took            # seconds
        self.first_frame = first_frame
        self.in_time = in_time
        self.detail = detail


class Load:
    """Runs `rate` requests a second from `workers` threads until `stop`."""

    def __init__(self, fleet, pipelines, workspaces, rate, workers=32, deadline_ms=5000,
                 max_tokens=16, choose=None):
        self.fleet = fleet
        self.pipelines = pipelines
        self.workspaces = workspaces
        self.period = workers / rate
        self.workers = workers
        self.deadline_ms = deadline_ms
        self.max_tokens = max_tokens
        self.choose = choose or (lambda number: number)
        self.records = []
        self.lock = threading.Lock()
        self.ending = threading.Event()
        self.begun = time.monotonic()
        self.threads = []

    def start(self):
        self.begun = time.monotonic()
        for number in range(self.workers):
            thread = threading.Thread(target=self.run_worker, args=(number,), daemon=True)
            thread.start()
            self.threads.append(thread)
        return self

    def stop(self):
        self.ending.set()
        for thread in self.threads:
            thread.join(30.0)
        return self.records

    def run_worker(self, number):
        due = self.begun + self.period * number / self.workers
        count = 0
        while not self.ending.wait(max(0.0, due - time.monotonic())):
            self.run_one(number, count)
            count += 1
            due += self.period

    def live_instances(self):
        """What the platform's balancer sends to: instances that answered its last readiness check."""
        return [one for one in self.fleet.instances if one.alive() and one.balanced]

    def run_one(self, number, count):
        live = self.live_instances()
        if not live:
            return
        turn = number + count * self.workers
        instance = live[self.choose(turn) % len(live)]
        text = "request %d of worker %d" % (count, number)
        begun = time.monotonic()
        try:
            answer = fleets.run_pipeline(
                instance, self.pipelines[turn % len(self.pipelines)], text,
                self.workspaces[turn % len(self.workspaces)], self.deadline_ms,
                max_tokens=self.max_tokens, timeout=self.deadline_ms / 1000 + 5)
            record = self.judge(answer, begun, instance)
        except OSError as failure:
            took = time.monotonic() - begun
            record = Record(begun - self.begun, instance.index, "no_answer", took, None, False,
                            str(failure))
        with self.lock:
            self.records.append(record)

    def judge(self, answer, begun, instance):
        in_time = answer.took * 1000 <= self.deadline_ms
        at = begun - self.begun
        if answer.whole():
            return Record(at, instance.index, "whole", answer.took, answer.first_frame, in_time)
        if answer.problem:
            detail = "%s %s" % (answer.problem.get("reason"), answer.problem.get("execution"))
            outcome = "refused" if answer.status != 200 else "broken"
            return Record(at, instance.index, outcome, answer.took, None, False, detail)
        return Record(at, instance.index, "no_answer", answer.took, None, False, "no final frame")


def quantile(values, q):
    """The q-quantile, or nan without values."""
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(q * len(ordered)))]


def summary(records):
    """Attainment and times of a list of records, as one line."""
    whole = [one for one in records if one.outcome == "whole"]
    in_time = sum(1 for one in whole if one.in_time)
    took = [one.took * 1000 for one in whole]
    first = [one.first_frame * 1000 for one in whole if one.first_frame]
    attained = 100.0 * in_time / len(records) if records else float("nan")
    return ("%5d requests  attained %6.2f%%  p50 %5.0f  p95 %5.0f  p99 %5.0f ms  "
            "first frame p95 %4.0f ms" %
            (len(records), attained, quantile(took, 0.5), quantile(took, 0.95),
             quantile(took, 0.99), quantile(first, 0.95)))


def failures(records):
    """Counts of everything that wasn't whole, by detail."""
    counts = {}
    for one in records:
        if one.outcome != "whole":
            name = (one.outcome + " " + one.detail)[:70]
            counts[name] = counts.get(name, 0) + 1
    return counts
