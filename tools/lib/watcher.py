"""What the platform's balancer sees, and the versions in force at each instance."""

import os
import threading
import time

import fleet as fleets

POLL_S = 0.25
POLL_TIMEOUT_S = 0.5
EDIT_PERIOD_S = 2.0
IN_FORCE_S = 3.0
DOCUMENTS = ["plans", "allowances", "availability"]


class Sight:
    """One look at one instance."""

    def __init__(self, index, process, asked_at, ready, versions):
        self.index = index
        self.process = process
        self.asked_at = asked_at
        self.ready = ready
        self.versions = versions


class Watcher:
    """Polls each instance, and edits the list of allowances now and then."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.routable = set()
        self.sights = []
        self.accepted = []     # (version, when the answer came)
        self.conflicts = 0
        self.lock = threading.Lock()
        self.ending = threading.Event()
        self.threads = [threading.Thread(target=self.poll, args=(one,), daemon=True)
                        for one in fleet.instances]
        self.threads.append(threading.Thread(target=self.edit, daemon=True))

    def start(self):
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.ending.set()
        for thread in self.threads:
            thread.join(10.0)

    def targets(self):
        """Where the balancer sends requests; anywhere alive if none is ready."""
        alive = [one for one in self.fleet.instances if one.alive()]
        return [one for one in alive if one.index in self.routable] or alive

    def poll(self, instance):
        while not self.ending.wait(POLL_S):
            ready = instance.alive() and self.is_ready(instance)
            (self.routable.add if ready else self.routable.discard)(instance.index)
            process, asked_at = instance.process.pid, time.monotonic()
            versions = self.versions(instance)
            if versions is not None:
                with self.lock:
                    self.sights.append(Sight(instance.index, process, asked_at, ready, versions))

    @staticmethod
    def is_ready(instance):
        try:
            return fleets.exchange(instance.caller, "GET", "/readyz",
                                   timeout=POLL_TIMEOUT_S).status == 200
        except OSError:
            return False

    @staticmethod
    def versions(instance):
        try:
            told = instance.operator_call("GET", "/v1/versions", timeout=POLL_TIMEOUT_S).json()
            return {name: told["versions"][name] for name in DOCUMENTS}
        except (OSError, ValueError, KeyError):
            return None

    def edit(self):
        path = os.path.join(self.fleet.example, "allowances.ini")
        with open(path) as file:
            text = file.read()
        count = 0
        while not self.ending.wait(EDIT_PERIOD_S):
            count += 1
            try:
                self.edit_once("%s\n; edit %d\n" % (text, count), self.targets()[0])
            except (OSError, ValueError, IndexError, KeyError):
                pass  # nothing was accepted, as far as the operator knows

    def edit_once(self, text, instance):
        base = instance.operator_call("GET", "/v1/lists/allowances", timeout=2.0).headers["etag"]
        answer = instance.operator_call("PUT", "/v1/lists/allowances", text.encode(),
                                        {"If-Match": base, "X-Reason": "fault table"}, 6.0)
        if answer.status == 200:
            self.accepted.append((answer.json()["version"], time.monotonic()))
        self.conflicts += answer.status == 409

    def reverted(self):
        """Sights in which a version is lower than one seen before in the same process."""
        found, highest = [], {}
        for sight in self.sights:
            for name, version in sight.versions.items():
                key = (sight.process, name)
                if version < highest.get(key, 0):
                    found.append((sight, "%s went back from %d to %d at instance %d" % (
                        name, highest[key], version, sight.index)))
                highest[key] = max(version, highest.get(key, 0))
        return found

    def late(self):
        """Sights of ready instances that lack what was accepted more than the bound before."""
        found = []
        for sight in self.sights:
            due = [version for version, at in self.accepted if sight.asked_at - at > IN_FORCE_S]
            if sight.ready and due and sight.versions["allowances"] < max(due):
                found.append((sight, "allowances %d at instance %d, %d accepted %.0f s before" % (
                    sight.versions["allowances"], sight.index, max(due), IN_FORCE_S)))
        return found
