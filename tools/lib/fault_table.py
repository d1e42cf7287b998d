"""Faults that the bench injects: each begins, lasts a few seconds, and ends."""

import signal
import threading
import time

import fleet as fleets
import traffic as traffics

PAUSE_S = 3.5  # longer than the owner lease
OPERATOR_REQUEST_LIMIT_S = 10.0
UPSTREAM_POOLS = ["encoders", "retrievers", "menu-engines", "supplier-ordering"]


class Context:
    """State shared by the faults of one pair."""

    def __init__(self, fleet, rng):
        self.fleet = fleet
        self.rng = rng
        self.used_instances = set()  # indexes of the instances picked by a fault of this pair
        self.disturbed = []          # (instance index, begin, end) of each kill and pause
        self.violations = []
        self.requested_crashes = 0

    def pick_instance(self):
        candidates = [instance for instance in self.fleet.instances
                      if instance.is_alive() and instance.index not in self.used_instances]
        instance = self.rng.choice(candidates)
        self.used_instances.add(instance.index)
        return instance

    def undisturbed_instance(self):
        return next(instance for instance in self.fleet.instances
                    if instance.is_alive() and instance.index not in self.used_instances)

    def pick_upstreams(self):
        return [self.rng.choice(self.fleet.pool(pool)) for pool in UPSTREAM_POOLS]


def retry_on_os_error(action, *arguments, **keywords):
    """Retries up to 30 times, as a crashed upstream can't be reached until it has restarted.

    Returns None if every attempt failed.
    """
    for _ in range(30):
        try:
            return action(*arguments, **keywords)
        except OSError:
            time.sleep(0.1)
    return None


class InstanceFault:
    def __init__(self, context):
        self.context = context
        self.fleet = context.fleet
        self.instance = context.pick_instance()
        self.started_at = time.monotonic()

    def record_disturbance(self):
        self.context.disturbed.append(
            (self.instance.index, self.started_at, time.monotonic() + 1.0))


class InstanceKilled(InstanceFault):
    """SIGKILL; 1 s later its entry is marked gone; a new instance starts at its addresses."""

    name = "instance killed"

    def begin(self):
        self.fleet.kill_instance(self.instance)
        threading.Timer(1.0, self.fleet.set_instance_state, (self.instance, "gone")).start()

    def end(self):
        self.fleet.start_instance(self.instance)
        self.record_disturbance()


class InstancePaused(InstanceFault):
    """SIGSTOP for longer than the owner lease, then SIGCONT."""

    name = "instance paused"

    def begin(self):
        self.instance.send_signal(signal.SIGSTOP)
        threading.Timer(PAUSE_S, self.instance.send_signal, (signal.SIGCONT,)).start()

    def end(self):
        self.instance.send_signal(signal.SIGCONT)
        self.record_disturbance()


class InstanceReplaced(InstanceFault):
    """Graceful stop under load, then a new instance at the same addresses."""

    name = "instance replaced"

    def begin(self):
        self.instance.send_signal(signal.SIGTERM)

    def end(self):
        try:
            code = self.instance.process.wait(20.0)
        except Exception:  # the drain didn't end in time
            code = "none within 20 s"
            self.fleet.kill_instance(self.instance)
        if code != 0:
            self.context.violations.append("graceful stop ended with exit code %s" % code)
        self.fleet.set_instance_state(self.instance, "gone")
        self.fleet.start_instance(self.instance)


class StoreFault:
    settings = {}
    reset_settings = {}

    def __init__(self, context):
        self.fleet = context.fleet

    def begin(self):
        self.fleet.set_store_faults(**self.settings)

    def end(self):
        self.fleet.set_store_faults(**self.reset_settings)


class StoreDown(StoreFault):
    name, settings, reset_settings = "store down", {"down": True}, {"down": False}


class StoreSlow(StoreFault):
    name, settings, reset_settings = "store slow", {"delay_ms": 700}, {"delay_ms": 0}


class AnswersLost(StoreFault):
    name, settings, reset_settings = "answers lost", {"lose_answers": 8}, {"lose_answers": 0}


class WatchesSilent(StoreFault):
    name, settings, reset_settings = "watches silent", {"silent_watches": True}, {
        "silent_watches": False}


class UpstreamsTurnCold:
    name = "upstreams turn cold"

    def __init__(self, context):
        self.upstreams = context.pick_upstreams()

    def begin(self):
        for upstream in self.upstreams:
            retry_on_os_error(upstream.control, turn_cold=True)

    def end(self):
        pass


class UpstreamsCrash:
    name = "upstreams crash"

    def __init__(self, context):
        self.context = context
        self.upstreams = context.pick_upstreams()

    def begin(self):
        for upstream in self.upstreams:
            self.context.requested_crashes += retry_on_os_error(upstream.control,
                                                                crash=True) is not None

    def end(self):
        pass


class ZoneOut:
    name = "zone out and in"

    def __init__(self, context):
        self.context = context
        self.zone = context.rng.choice(context.fleet.zones)
        self.zone_upstreams = [upstream for upstream in context.fleet.upstreams
                               if upstream.zone == self.zone]

    def set_zone_out(self, out):
        """Takes the zone out or in; returns whether an instance accepted it.

        Status 202 means that the change applies but isn't stored yet, as the store is down; it
        suffices for taking a zone out.
        """
        body = {"zone": self.zone, "out": out, "reason": "fault table"}
        deadline = time.monotonic() + OPERATOR_REQUEST_LIMIT_S
        while time.monotonic() < deadline:
            try:
                response = self.context.undisturbed_instance().operator_call(
                    "POST", "/v1/availability", body, timeout=5.0)
                if response.status == 200 or (out and response.status == 202):
                    return True
            except OSError:
                pass
            time.sleep(0.5)
        return False

    def begin(self):
        if not self.set_zone_out(True):
            self.context.violations.append("no instance took the order to take a zone out")
            return
        for upstream in self.zone_upstreams:
            retry_on_os_error(upstream.control, marked_out=True)

    def end(self):
        for upstream in self.zone_upstreams:
            retry_on_os_error(upstream.control, marked_out=False, turn_cold=True)
        if not self.set_zone_out(False):
            self.context.violations.append("no instance took the order to return a zone")


class UpstreamsLeave:
    name = "upstreams leave"

    def __init__(self, context):
        self.fleet = context.fleet
        self.upstreams = context.pick_upstreams()

    def set_leaving(self, leaving):
        for upstream in self.upstreams:
            self.fleet.post_to_object_api("/_instances", {
                "id": upstream.name, "address": upstream.address, "zone": upstream.zone,
                "role": upstream.pool, "state": "leaving" if leaving else "live"})
            retry_on_os_error(upstream.control, leaving=leaving)

    def begin(self):
        self.set_leaving(True)

    def end(self):
        self.set_leaving(False)


class InputFault:
    """Upstreams spoil their responses to inputs that contain a word of traffic.INPUT_WORDS."""

    settings = {}

    def __init__(self, context):
        self.upstreams = [upstream for upstream in context.fleet.upstreams
                          if upstream.pool != traffics.SERVICE]

    def begin(self):
        for upstream in self.upstreams:
            retry_on_os_error(upstream.control, **self.settings)

    def end(self):
        for upstream in self.upstreams:
            retry_on_os_error(upstream.control, **{name: "" for name in self.settings})


class ConnectionsSilent(InputFault):
    name, settings = "connections silent", {"silent_on": "quiet"}


class AnswersSpoiled(InputFault):
    name = "answers spoiled"
    settings = {"late_on": "tardy", "duplicate_on": "twice", "misdirect_on": "astray",
                "truncate_on": "short"}


class CrashingRequest:
    """A request that crashes each engine that runs it, repeated through every instance in turn."""

    name = "crashing request"
    max_crashes = 2

    def __init__(self, context):
        self.context = context
        self.fleet = context.fleet
        self.word = "poison%d" % context.rng.randrange(10 ** 9)
        self.engines = self.fleet.pool("menu-engines")
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.repeat, daemon=True)

    def repeat(self):
        turn = 0
        while not self.stopping.is_set():
            live = [instance for instance in self.fleet.instances if instance.is_alive()]
            try:
                fleets.run_pipeline(live[turn % len(live)], "menu-plan", self.word,
                                    traffics.WORKSPACE, 3000, timeout=5.0)
            except (OSError, IndexError):
                pass
            turn += 1
            self.stopping.wait(0.1)

    def begin(self):
        self.crashes_before = self.count_crashes()
        for upstream in self.engines:
            retry_on_os_error(upstream.control, crash_on=self.word)
        self.thread.start()

    def count_crashes(self):
        all_counters = [retry_on_os_error(upstream.read_counters) for upstream in self.engines]
        return sum(counters["crashes_by_text"] for counters in all_counters if counters)

    def end(self):
        self.stopping.set()
        self.thread.join(10.0)
        crashes = self.count_crashes() - self.crashes_before
        if crashes > self.max_crashes:
            self.context.violations.append("a crashing request took down %d upstreams" % crashes)
        for upstream in self.engines:
            retry_on_os_error(upstream.control, crash_on="")


FAULTS = [InstanceKilled, InstancePaused, InstanceReplaced, StoreDown, StoreSlow, AnswersLost,
          WatchesSilent, UpstreamsTurnCold, UpstreamsCrash, ZoneOut, UpstreamsLeave,
          ConnectionsSilent, AnswersSpoiled, CrashingRequest]

# Pairs that aren't drawn, as they reset each other's settings or need the same part of the store.
EXCLUDED = [{StoreDown, StoreSlow}, {StoreDown, AnswersLost}, {StoreDown, WatchesSilent}]


def draw_pairs(rng, count):
    """Draws pairs of different faults; each fault is drawn about equally often."""
    deck, pairs = [], []
    while len(pairs) < count:
        if len(deck) < 2:
            remaining = deck
            deck = FAULTS[:]
            rng.shuffle(deck)
            deck = remaining + deck
        first = deck.pop(0)
        second = next((fault for fault in deck
                       if fault is not first and {first, fault} not in EXCLUDED), None)
        if second is None:
            continue
        deck.remove(second)
        pairs.append((first, second))
    return pairs
