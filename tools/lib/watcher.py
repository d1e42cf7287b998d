"""Records the readiness of each instance and the configuration versions in force there."""

import os
import threading
import time

import fleet as fleets

POLL_S = 0.25
POLL_TIMEOUT_S = 0.5
EDIT_PERIOD_S = 2.0
ACTIVATION_LIMIT_S = 3.0
DOCUMENTS = ["plans", "allowances", "availability"]


class Observation:
    """Readiness and versions of one instance at one time."""

    def __init__(self, index, process, requested_at, ready, versions):
        self.index = index
        self.process = process
        self.requested_at = requested_at
        self.ready = ready
        self.versions = versions


class Watcher:
    """Polls each instance, and edits the list of allowances every EDIT_PERIOD_S."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.routable = set()
        self.observations = []
        self.accepted = []     # (version, time of the response)
        self.conflicts = 0
        self.lock = threading.Lock()
        self.stopping = threading.Event()
        self.threads = [threading.Thread(target=self.poll, args=(instance,), daemon=True)
                        for instance in fleet.instances]
        self.threads.append(threading.Thread(target=self.edit, daemon=True))

    def start(self):
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join(10.0)

    def targets(self):
        """Returns the ready instances, or all live ones if none is ready."""
        alive = [instance for instance in self.fleet.instances if instance.is_alive()]
        return [instance for instance in alive if instance.index in self.routable] or alive

    def poll(self, instance):
        while not self.stopping.wait(POLL_S):
            ready = instance.is_alive() and self.is_ready(instance)
            (self.routable.add if ready else self.routable.discard)(instance.index)
            process, requested_at = instance.process.pid, time.monotonic()
            versions = self.versions(instance)
            if versions is not None:
                with self.lock:
                    self.observations.append(
                        Observation(instance.index, process, requested_at, ready, versions))

    @staticmethod
    def is_ready(instance):
        try:
            return fleets.exchange(instance.caller_address, "GET", "/readyz",
                                   timeout=POLL_TIMEOUT_S).status == 200
        except OSError:
            return False

    @staticmethod
    def versions(instance):
        try:
            reply = instance.operator_call("GET", "/v1/versions", timeout=POLL_TIMEOUT_S).json()
            return {name: reply["versions"][name] for name in DOCUMENTS}
        except (OSError, ValueError, KeyError):
            return None

    def edit(self):
        path = os.path.join(self.fleet.example_folder, "allowances.ini")
        with open(path) as file:
            text = file.read()
        count = 0
        while not self.stopping.wait(EDIT_PERIOD_S):
            count += 1
            try:
                self.edit_once("%s\n; edit %d\n" % (text, count), self.targets()[0])
            except (OSError, ValueError, IndexError, KeyError):
                pass  # no acceptance was received, so there is none to record

    def edit_once(self, text, instance):
        base = instance.operator_call("GET", "/v1/lists/allowances", timeout=2.0).headers["etag"]
        response = instance.operator_call("PUT", "/v1/lists/allowances", text.encode(),
                                          {"If-Match": base, "X-Reason": "fault table"}, 6.0)
        if response.status == 200:
            self.accepted.append((response.json()["version"], time.monotonic()))
        self.conflicts += response.status == 409

    def find_rollbacks(self):
        """Returns observations of a version lower than one seen before in the same process."""
        findings, highest = [], {}
        for observation in self.observations:
            for name, version in observation.versions.items():
                key = (observation.process, name)
                if version < highest.get(key, 0):
                    findings.append((observation, "%s went back from %d to %d at instance %d" % (
                        name, highest[key], version, observation.index)))
                highest[key] = max(version, highest.get(key, 0))
        return findings

    def find_late_activations(self):
        """Returns observations of ready instances that exceeded the activation limit.

        Such an instance lacks a version that was accepted more than ACTIVATION_LIMIT_S before.
        """
        findings = []
        for observation in self.observations:
            due = [version for version, accepted_at in self.accepted
                   if observation.requested_at - accepted_at > ACTIVATION_LIMIT_S]
            if observation.ready and due and observation.versions["allowances"] < max(due):
                findings.append((
                    observation,
                    "version %d of allowances in force at instance %d, version %d accepted more "
                    "than %.0f s before" % (observation.versions["allowances"], observation.index,
                                            max(due), ACTIVATION_LIMIT_S)))
        return findings
