"""Light load for the fault bench.

Sends pipeline requests, and non-idempotent calls that are repeated through other instances.
"""

import json
import random
import threading
import time

import fleet as fleets

PIPELINES = ["menu-plan", "prep-sheet"]
WORKSPACE = "brecon"
SERVICE = "supplier-ordering"
OPERATION = "confirm"
MAX_TOKENS = 12
DEADLINE_MS = 5000
# Faults make the stand-ins spoil responses to inputs with one of these words, except "plain".
INPUT_WORDS = ["quiet", "tardy", "twice", "astray", "short", "plain", "plain", "plain"]


class Record:
    """One request or call as its caller saw it."""

    def __init__(self, kind, name, instance, pair):
        self.kind = kind            # pipeline or call
        self.name = name            # the mark of a pipeline request or the key of a call
        self.instance = instance.index
        self.pair = pair
        self.started_at = time.monotonic()
        self.ended_at = None
        self.outcome = "no_answer"  # whole (complete), refused, broken or no_answer
        self.execution = ""
        self.reason = ""
        self.response_error = ""    # difference from the expected response
        self.refused_connection = False

    def set_problem(self, problem):
        self.execution = problem.get("execution", "")
        self.reason = problem.get("reason", "")


class Traffic:
    """Runs worker threads until `stop`; its records may be read after that."""

    def __init__(self, watcher, checker, seed, pipelines_per_second=16.0, calls_per_second=3.0):
        self.watcher = watcher
        self.checker = checker
        self.seed = seed
        self.pair = 0
        self.records = []
        self.lock = threading.Lock()
        self.stopping = threading.Event()
        self.worker_groups = [(self.run_plans, 12, 12 / pipelines_per_second),
                              (self.run_calls, 6, 6 / calls_per_second)]
        self.threads = []

    def start(self):
        for target, workers, period in self.worker_groups:
            for worker in range(workers):
                thread = threading.Thread(target=target, args=(worker, period), daemon=True)
                thread.start()
                self.threads.append(thread)

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join(40.0)
        return [thread for thread in self.threads if thread.is_alive()]

    def add_record(self, record):
        record.ended_at = time.monotonic()
        with self.lock:
            self.records.append(record)

    def run_plans(self, worker, period):
        rng = random.Random("%d plan %d" % (self.seed, worker))
        count = 0
        while not self.stopping.wait(rng.uniform(0.5, 1.5) * period):
            live = self.watcher.targets()
            if live:
                mark = "mark=p%d-%d" % (worker, count)
                text = "%s %s suppers" % (mark, rng.choice(INPUT_WORDS))
                self.run_plan(rng.choice(live), rng.choice(PIPELINES), mark, text)
                count += 1

    def run_plan(self, instance, pipeline, mark, text):
        record = Record("pipeline", mark, instance, self.pair)
        try:
            response = fleets.run_pipeline(instance, pipeline, text, WORKSPACE, DEADLINE_MS,
                                           max_tokens=MAX_TOKENS, timeout=DEADLINE_MS / 1000 + 3)
            self.record_response(record, response)
            record.response_error = self.checker.find_error(pipeline, text, MAX_TOKENS, response)
        except OSError as error:
            record.refused_connection = isinstance(error, ConnectionRefusedError)
            record.reason = str(error)
        self.add_record(record)
        return record

    @staticmethod
    def record_response(record, response):
        if response.is_complete():
            record.outcome = "whole"
        elif response.problem:
            record.outcome = "refused" if response.status != 200 else "broken"
            record.set_problem(response.problem)
        else:
            record.reason = "no final frame"

    def run_calls(self, worker, period):
        rng = random.Random("%d call %d" % (self.seed, worker))
        count = 0
        while not self.stopping.wait(rng.uniform(0.5, 1.5) * period):
            key = "c%d-%d-%d" % (self.seed, worker, count)
            count += 1
            in_parallel = rng.random() < 0.5
            live = self.watcher.targets()
            repeats = [threading.Thread(target=self.run_call, args=(instance, key), daemon=True)
                       for instance in rng.sample(live, min(3, len(live)))]
            for repeat in repeats:
                repeat.start()
                if not in_parallel:
                    repeat.join(20.0)
            for repeat in repeats:
                repeat.join(20.0)

    def run_call(self, instance, key):
        record = Record("call", key, instance, self.pair)
        body = json.dumps({"delivery": "mark=" + key}).encode()
        try:
            response = fleets.call_service(instance, SERVICE, OPERATION, body, WORKSPACE, key, 15.0)
            if response.status == 200:
                record.outcome = "whole"
            else:
                record.outcome = "refused"
                record.set_problem(response.json())
        except (OSError, ValueError) as error:
            record.refused_connection = isinstance(error, ConnectionRefusedError)
            record.reason = str(error)
        self.add_record(record)
