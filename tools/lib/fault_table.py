"""The faults: each begins, lasts a few seconds, and ends."""

import signal
import threading
import time

import fleet as fleets
import traffic as traffics

PAST_THE_FENCE_S = 3.5
UPSTREAM_POOLS = ["encoders", "retrievers", "menu-engines", "supplier-ordering"]


class Context:
    """What the faults of one pair share."""

    def __init__(self, fleet, choice):
        self.fleet = fleet
        self.choice = choice
        self.used = set()       # instances that a fault of this pair takes
        self.disturbed = []     # (instance index, begin, end) of kills and pauses
        self.violations = []
        self.ordered_falls = 0

    def take_instance(self):
        free = [one for one in self.fleet.instances if one.alive() and one.index not in self.used]
        taken = self.choice.choice(free)
        self.used.add(taken.index)
        return taken

    def steady_instance(self):
        return next(one for one in self.fleet.instances
                    if one.alive() and one.index not in self.used)

    def some_upstreams(self):
        return [self.choice.choice(self.fleet.pool(pool)) for pool in UPSTREAM_POOLS]


def quietly(action, *arguments, **names):
    """An upstream that has fallen doesn't take orders for a moment."""
    for _ in range(30):
        try:
            return action(*arguments, **names)
        except OSError:
            time.sleep(0.1)
    return None


class InstanceFault:
    def __init__(self, context):
        self.context = context
        self.fleet = context.fleet
        self.instance = context.take_instance()
        self.begun = time.monotonic()

    def note_disturbed(self):
        self.context.disturbed.append((self.instance.index, self.begun, time.monotonic() + 1.0))


class InstanceKilled(InstanceFault):
    """SIGKILL; the list drops it a second later; a new one starts at its addresses."""

    name = "instance killed"

    def begin(self):
        self.fleet.kill_instance(self.instance)
        threading.Timer(1.0, self.fleet.list_instance, (self.instance, "gone")).start()

    def end(self):
        self.fleet.start_instance(self.instance)
        self.note_disturbed()


class InstancePaused(InstanceFault):
    """SIGSTOP for longer than the fence, then it wakes."""

    name = "instance paused"

    def begin(self):
        self.instance.send(signal.SIGSTOP)
        threading.Timer(PAST_THE_FENCE_S, self.instance.send, (signal.SIGCONT,)).start()

    def end(self):
        self.instance.send(signal.SIGCONT)
        self.note_disturbed()


class InstanceReplaced(InstanceFault):
    """Graceful stop under load, then a new one."""

    name = "instance replaced"

    def begin(self):
        self.instance.send(signal.SIGTERM)

    def end(self):
        try:
            code = self.instance.process.wait(20.0)
        except Exception:  # the drain didn't end
            code = "none within 20 s"
            self.fleet.kill_instance(self.instance)
        if code != 0:
            self.context.violations.append("graceful stop ended with %s" % code)
        self.fleet.list_instance(self.instance, "gone")
        self.fleet.start_instance(self.instance)


class StoreFault:
    orders = {}
    over = {}

    def __init__(self, context):
        self.fleet = context.fleet

    def begin(self):
        self.fleet.fault(**self.orders)

    def end(self):
        self.fleet.fault(**self.over)


class StoreDown(StoreFault):
    name, orders, over = "store down", {"down": True}, {"down": False}


class StoreSlow(StoreFault):
    name, orders, over = "store slow", {"delay_ms": 700}, {"delay_ms": 0}


class AnswersLost(StoreFault):
    name, orders, over = "answers lost", {"lose_answers": 8}, {"lose_answers": 0}


class WatchesSilent(StoreFault):
    name, orders, over = "watches silent", {"silent_watches": True}, {"silent_watches": False}


class UpstreamsTurnCold:
    name = "upstreams turn cold"

    def __init__(self, context):
        self.upstreams = context.some_upstreams()

    def begin(self):
        for one in self.upstreams:
            quietly(one.control, turn_cold=True)

    def end(self):
        pass


class UpstreamsCrash:
    name = "upstreams crash"

    def __init__(self, context):
        self.context = context
        self.upstreams = context.some_upstreams()

    def begin(self):
        for one in self.upstreams:
            self.context.ordered_falls += quietly(one.control, crash=True) is not None

    def end(self):
        pass


class ZoneOut:
    name = "zone out and in"

    def __init__(self, context):
        self.context = context
        self.zone = context.choice.choice(context.fleet.zones)
        self.inside = [one for one in context.fleet.upstreams if one.zone == self.zone]

    def order(self, out):
        body = {"zone": self.zone, "out": out, "reason": "fault table"}
        for _ in range(20):
            try:
                answer = self.context.steady_instance().operator_call(
                    "POST", "/v1/availability", body, timeout=5.0)
                if answer.status == 200:
                    return True
            except OSError:
                pass
            time.sleep(0.5)
        return False

    def begin(self):
        if not self.order(True):
            self.context.violations.append("no instance took the order to take a zone out")
            return
        for one in self.inside:
            quietly(one.control, marked_out=True)

    def end(self):
        for one in self.inside:
            quietly(one.control, marked_out=False, turn_cold=True)
        if not self.order(False):
            self.context.violations.append("no instance took the order to return a zone")


class UpstreamsLeave:
    name = "upstreams leave"

    def __init__(self, context):
        self.fleet = context.fleet
        self.upstreams = context.some_upstreams()

    def show(self, leaving):
        for one in self.upstreams:
            self.fleet.fault_free_post("/_instances", {
                "id": one.name, "address": one.address, "zone": one.zone, "role": one.pool,
                "state": "leaving" if leaving else "live"})
            quietly(one.control, leaving=leaving)

    def begin(self):
        self.show(True)

    def end(self):
        self.show(False)


class InputFault:
    """Upstreams spoil answers to inputs that hold a word."""

    orders = {}

    def __init__(self, context):
        self.upstreams = [one for one in context.fleet.upstreams if one.pool != traffics.SERVICE]

    def begin(self):
        for one in self.upstreams:
            quietly(one.control, **self.orders)

    def end(self):
        for one in self.upstreams:
            quietly(one.control, **{name: "" for name in self.orders})


class ConnectionsSilent(InputFault):
    name, orders = "connections silent", {"silent_on": "quiet"}


class AnswersSpoiled(InputFault):
    name = "answers spoiled"
    orders = {"late_on": "tardy", "duplicate_on": "twice", "misdirect_on": "astray",
              "truncate_on": "short"}


class CrashingRequest:
    """Its caller sends it again and again through every instance."""

    name = "crashing request"
    falls_allowed = 2

    def __init__(self, context):
        self.context = context
        self.fleet = context.fleet
        self.word = "poison%d" % context.choice.randrange(10 ** 9)
        self.engines = self.fleet.pool("menu-engines")
        self.ending = threading.Event()
        self.thread = threading.Thread(target=self.repeat, daemon=True)

    def repeat(self):
        turn = 0
        while not self.ending.is_set():
            live = [one for one in self.fleet.instances if one.alive()]
            try:
                fleets.run_pipeline(live[turn % len(live)], "menu-plan", self.word,
                                    traffics.WORKSPACE, 3000, timeout=5.0)
            except (OSError, IndexError):
                pass
            turn += 1
            self.ending.wait(0.1)

    def begin(self):
        self.before = self.falls()
        for one in self.engines:
            quietly(one.control, crash_on=self.word)
        self.thread.start()

    def falls(self):
        truths = [quietly(one.truth) for one in self.engines]
        return sum(one["crashes_by_text"] for one in truths if one)

    def end(self):
        self.ending.set()
        self.thread.join(10.0)
        falls = self.falls() - self.before
        if falls > self.falls_allowed:
            self.context.violations.append("a crashing request took %d upstreams" % falls)
        for one in self.engines:
            quietly(one.control, crash_on="")


FAULTS = [InstanceKilled, InstancePaused, InstanceReplaced, StoreDown, StoreSlow, AnswersLost,
          WatchesSilent, UpstreamsTurnCold, UpstreamsCrash, ZoneOut, UpstreamsLeave,
          ConnectionsSilent, AnswersSpoiled, CrashingRequest]

# Two of a kind that undo each other's settings, or need the same thing.
EXCLUDED = [{StoreDown, StoreSlow}, {StoreDown, AnswersLost}, {StoreDown, WatchesSilent}]


def draw_pairs(choice, count):
    """Pairs in which every fault comes up about equally often."""
    deck, pairs = [], []
    while len(pairs) < count:
        if len(deck) < 2:
            rest = deck
            deck = FAULTS[:]
            choice.shuffle(deck)
            deck = rest + deck
        first = deck.pop(0)
        second = next((one for one in deck
                       if one is not first and {first, one} not in EXCLUDED), None)
        if second is None:
            continue
        deck.remove(second)
        pairs.append((first, second))
    return pairs
