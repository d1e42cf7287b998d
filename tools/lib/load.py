"""Generates pipeline requests at a fixed rate from a fixed number of threads, and records each."""

import threading
import time

import fleet as fleets


class Record:
    """Outcome of one request as its caller saw it."""

    def __init__(self, start_offset, instance, outcome, duration, first_frame, in_time, detail=""):
        self.start_offset = start_offset  # start of the request in seconds since the load began
        self.instance = instance          # index
        self.outcome = outcome            # whole (complete), refused, broken or no_answer
        self.duration = duration          # seconds
        self.first_frame = first_frame
        self.in_time = in_time
        self.detail = detail


class Load:
    """Sends `rate` requests per second from `workers` threads until `stop`.

    `choose_instance` maps the number of a request to the number that selects its instance.
    """

    def __init__(self, fleet, pipelines, workspaces, rate, workers=32, deadline_ms=5000,
                 max_tokens=16, choose_instance=None):
        self.fleet = fleet
        self.pipelines = pipelines
        self.workspaces = workspaces
        self.period = workers / rate
        self.workers = workers
        self.deadline_ms = deadline_ms
        self.max_tokens = max_tokens
        self.choose_instance = choose_instance or (lambda number: number)
        self.records = []
        self.lock = threading.Lock()
        self.stopping = threading.Event()
        self.started_at = time.monotonic()
        self.threads = []

    def start(self):
        self.started_at = time.monotonic()
        for worker in range(self.workers):
            thread = threading.Thread(target=self.run_worker, args=(worker,), daemon=True)
            thread.start()
            self.threads.append(thread)
        return self

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join(30.0)
        return self.records

    def run_worker(self, worker):
        due = self.started_at + self.period * worker / self.workers
        count = 0
        while not self.stopping.wait(max(0.0, due - time.monotonic())):
            self.run_request(worker, count)
            count += 1
            due += self.period

    def live_instances(self):
        """Returns the instances in the balancer's rotation: those that passed its last check."""
        return [instance for instance in self.fleet.instances
                if instance.is_alive() and instance.in_rotation]

    def run_request(self, worker, count):
        live = self.live_instances()
        if not live:
            return
        request_number = worker + count * self.workers
        instance = live[self.choose_instance(request_number) % len(live)]
        text = "request %d of worker %d" % (count, worker)
        started_at = time.monotonic()
        try:
            response = fleets.run_pipeline(
                instance, self.pipelines[request_number % len(self.pipelines)], text,
                self.workspaces[request_number % len(self.workspaces)], self.deadline_ms,
                max_tokens=self.max_tokens, timeout=self.deadline_ms / 1000 + 5)
            record = self.make_record(response, started_at, instance)
        except OSError as error:
            duration = time.monotonic() - started_at
            record = Record(started_at - self.started_at, instance.index, "no_answer", duration,
                            None, False, str(error))
        with self.lock:
            self.records.append(record)

    def make_record(self, response, started_at, instance):
        in_time = response.duration * 1000 <= self.deadline_ms
        start_offset = started_at - self.started_at
        if response.is_complete():
            return Record(start_offset, instance.index, "whole", response.duration,
                          response.first_frame, in_time)
        if response.problem:
            detail = "%s %s" % (response.problem.get("reason"), response.problem.get("execution"))
            outcome = "refused" if response.status != 200 else "broken"
            return Record(start_offset, instance.index, outcome, response.duration, None, False,
                          detail)
        return Record(start_offset, instance.index, "no_answer", response.duration, None, False,
                      "no final frame")


def quantile(values, fraction):
    """Returns the quantile of a fraction from 0 to 1, or nan if there are no values."""
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def format_summary(records):
    """Formats the share of requests completed in time and the durations as one line."""
    completed = [record for record in records if record.outcome == "whole"]
    in_time = sum(1 for record in completed if record.in_time)
    durations = [record.duration * 1000 for record in completed]
    first_frames = [record.first_frame * 1000 for record in completed if record.first_frame]
    attained = 100.0 * in_time / len(records) if records else float("nan")
    return ("%5d requests  attained %6.2f%%  p50 %5.0f  p95 %5.0f  p99 %5.0f ms  "
            "first frame p95 %4.0f ms" %
            (len(records), attained, quantile(durations, 0.5), quantile(durations, 0.95),
             quantile(durations, 0.99), quantile(first_frames, 0.95)))


def count_failures(records):
    """Counts the requests without a complete response, by outcome and detail."""
    counts = {}
    for record in records:
        if record.outcome != "whole":
            name = (record.outcome + " " + record.detail)[:70]
            counts[name] = counts.get(name, 0) + 1
    return counts
