"""Light load for the fault table: pipelines, and non-idempotent calls repeated elsewhere."""

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
# Words that the stand-ins may be told to spoil.
MOODS = ["quiet", "tardy", "twice", "astray", "short", "plain", "plain", "plain"]


class Record:
    """One exchange as its caller saw it."""

    def __init__(self, kind, name, instance, pair):
        self.kind = kind            # pipeline or call
        self.name = name            # the mark or the key
        self.instance = instance.index
        self.pair = pair
        self.begun = time.monotonic()
        self.ended = None
        self.outcome = "no_answer"  # whole, refused, broken or no_answer
        self.execution = ""
        self.reason = ""
        self.fault = ""             # what is wrong with the answer
        self.refused_connection = False

    def take_problem(self, problem):
        self.execution = problem.get("execution", "")
        self.reason = problem.get("reason", "")


class Traffic:
    """Worker threads until `stop`; records are read after it."""

    def __init__(self, watcher, judge, seed, pipelines_per_second=16.0, calls_per_second=3.0):
        self.watcher = watcher
        self.judge = judge
        self.seed = seed
        self.pair = 0
        self.records = []
        self.lock = threading.Lock()
        self.ending = threading.Event()
        self.plan = [(self.run_plans, 12, 12 / pipelines_per_second),
                     (self.run_calls, 6, 6 / calls_per_second)]
        self.threads = []

    def start(self):
        for target, workers, period in self.plan:
            for number in range(workers):
                thread = threading.Thread(target=target, args=(number, period), daemon=True)
                thread.start()
                self.threads.append(thread)

    def stop(self):
        self.ending.set()
        for thread in self.threads:
            thread.join(40.0)
        return [one for one in self.threads if one.is_alive()]

    def keep(self, record):
        record.ended = time.monotonic()
        with self.lock:
            self.records.append(record)

    def run_plans(self, number, period):
        choice = random.Random("%d plan %d" % (self.seed, number))
        count = 0
        while not self.ending.wait(choice.uniform(0.5, 1.5) * period):
            live = self.watcher.targets()
            if live:
                mark = "mark=p%d-%d" % (number, count)
                text = "%s %s suppers" % (mark, choice.choice(MOODS))
                self.one_plan(choice.choice(live), choice.choice(PIPELINES), mark, text)
                count += 1

    def one_plan(self, instance, pipeline, mark, text):
        record = Record("pipeline", mark, instance, self.pair)
        try:
            answer = fleets.run_pipeline(instance, pipeline, text, WORKSPACE, DEADLINE_MS,
                                         max_tokens=MAX_TOKENS, timeout=DEADLINE_MS / 1000 + 3)
            self.note_answer(record, answer)
            record.fault = self.judge.fault_of(pipeline, text, MAX_TOKENS, answer)
        except OSError as failure:
            record.refused_connection = isinstance(failure, ConnectionRefusedError)
            record.reason = str(failure)
        self.keep(record)
        return record

    @staticmethod
    def note_answer(record, answer):
        if answer.whole():
            record.outcome = "whole"
        elif answer.problem:
            record.outcome = "refused" if answer.status != 200 else "broken"
            record.take_problem(answer.problem)
        else:
            record.reason = "no final frame"

    def run_calls(self, number, period):
        choice = random.Random("%d call %d" % (self.seed, number))
        count = 0
        while not self.ending.wait(choice.uniform(0.5, 1.5) * period):
            key = "c%d-%d-%d" % (self.seed, number, count)
            count += 1
            at_once = choice.random() < 0.5
            live = self.watcher.targets()
            repeats = [threading.Thread(target=self.one_call, args=(instance, key), daemon=True)
                       for instance in choice.sample(live, min(3, len(live)))]
            for repeat in repeats:
                repeat.start()
                if not at_once:
                    repeat.join(20.0)
            for repeat in repeats:
                repeat.join(20.0)

    def one_call(self, instance, key):
        record = Record("call", key, instance, self.pair)
        body = json.dumps({"delivery": "mark=" + key}).encode()
        try:
            answer = fleets.call_service(instance, SERVICE, OPERATION, body, WORKSPACE, key, 15.0)
            if answer.status == 200:
                record.outcome = "whole"
            else:
                record.outcome = "refused"
                record.take_problem(answer.json())
        except (OSError, ValueError) as failure:
            record.refused_connection = isinstance(failure, ConnectionRefusedError)
            record.reason = str(failure)
        self.keep(record)
