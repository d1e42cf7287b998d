"""Starts stand-ins and daemons on loopback, for the demo and the benchmarks.

Only the standard library is used. Every process that a Fleet starts is ended by its handle.
"""

import configparser
import hashlib
import http.client
import json
import os
import signal
import socket
import subprocess
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BUILD = os.environ.get("CYCLAMENMOUNT_BUILD", os.path.join(ROOT, "build"))
PEER_SECRET = "example-peer-secret-0123"
OPERATOR_SECRET = "example-operator-secret-0123"

ZONES = {
    "gwledd-encil": ["cymru-west-1", "cymru-west-2", "cymru-west-3"],
    "playsafe": ["lagos-1", "lagos-2", "lagos-3", "lagos-4"],
}

# Upstreams of each pool at the sizes of the brief.
SIZES = {
    "gwledd-encil": {
        "encoders": 3, "retrievers": 3, "rerankers": 3, "menu-engines": 10,
        "supplier-ordering": 3, "retreat-bookings": 3, "supplier-directory": 5, "invoicing": 5,
    },
    "playsafe": {
        "encoders": 4, "retrievers": 4, "rerankers": 4, "report-engines": 20,
        "booking": 4, "rotas": 4, "photos": 5, "notices": 5,
    },
}


def workspace_key(workspace):
    """The key whose hash the example lists hold."""
    return workspace + "-example-key"


class Answer:
    """Status, lower case headers and body of one exchange."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)


def exchange(address, method, path, body=None, headers=None, timeout=10.0):
    """One HTTP exchange on a connection of its own; raises OSError if there is no answer."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        data = json.dumps(body).encode() if isinstance(body, (dict, list)) else body
        connection.request(method, path, body=data, headers=headers or {})
        response = connection.getresponse()
        names = {name.lower(): value for name, value in response.getheaders()}
        return Answer(response.status, names, response.read())
    except http.client.HTTPException as failure:
        raise OSError(str(failure)) from failure
    finally:
        connection.close()


class PortRange:
    """Hands out ports that are free now."""

    def __init__(self, first):
        self.next = first

    def take(self):
        while True:
            port = self.next
            self.next += 1
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind(("127.0.0.1", port))
                    return "127.0.0.1:%d" % port
                except OSError:
                    continue


class Upstream:
    """One upstream of a stand-in process."""

    def __init__(self, name, address, pool, zone, process):
        self.name = name
        self.address = address
        self.pool = pool
        self.zone = zone
        self.process = process

    def control(self, **orders):
        return exchange(self.address, "POST", "/_control", orders)

    def truth(self):
        return exchange(self.address, "GET", "/_truth").json()


class Instance:
    """One daemon."""

    def __init__(self, index, zone, peer, caller, operators, settings_file):
        self.index = index
        self.zone = zone
        self.peer = peer
        self.caller = caller
        self.operators = operators
        self.settings_file = settings_file
        self.process = None
        self.balanced = True  # the balancer sends to it

    def alive(self):
        return self.process is not None and self.process.poll() is None

    def send(self, number):
        self.process.send_signal(number)

    def operator_call(self, method, path, body=None, headers=None, timeout=10.0):
        names = {"Authorization": "Bearer " + OPERATOR_SECRET, "X-Operator": "demo"}
        names.update(headers or {})
        return exchange(self.operators, method, path, body, names, timeout)

    def status(self):
        return self.operator_call("GET", "/v1/status").json()

    def ready(self):
        try:
            return exchange(self.caller, "GET", "/readyz", timeout=2.0).status == 200
        except OSError:
            return False


class Fleet:
    """Object API, upstreams and instances of one deployment."""

    def __init__(self, deployment, instances, first_port=24000, sizes=None, timing=None,
                 upstream_defaults=None, cold=None):
        self.deployment = deployment
        self.zones = ZONES[deployment]
        self.sizes = sizes or SIZES[deployment]
        self.cold = cold or {}
        self.timing = timing or {}
        self.upstream_defaults = upstream_defaults or {}
        self.ports = PortRange(first_port)
        self.folder = tempfile.mkdtemp(prefix="cyclamenmount-")
        self.example = os.path.join(ROOT, "examples", deployment)
        self.processes = []
        self.upstreams = []
        self.instances = []
        self.object_api = self.ports.take()
        self.peer_secret = self.write_secret("peer.secret", PEER_SECRET)
        self.operator_secret = self.write_secret("operator.secret", OPERATOR_SECRET)
        for index in range(instances):
            self.add_instance(self.zones[index % len(self.zones)])

    def __enter__(self):
        return self

    def __exit__(self, *failure):
        self.end()

    def write_secret(self, name, text):
        path = os.path.join(self.folder, name)
        with open(os.open(path, os.O_WRONLY | os.O_CREAT, 0o600), "w") as file:
            file.write(text + "\n")
        return path

    def read_settings(self):
        settings = configparser.ConfigParser(delimiters=("=",), comment_prefixes=(";",))
        settings.read(os.path.join(self.example, "daemon.ini"))
        return settings

    def add_instance(self, zone):
        peer, caller, operators = (self.ports.take() for _ in range(3))
        settings = self.read_settings()
        settings["instance"].update({
            "zone": zone, "peer_listen": peer, "caller_listen": caller,
            "operator_listen": operators, "peer_secret_file": self.peer_secret,
            "operator_secret_file": self.operator_secret,
        })
        settings["platform"]["object_api"] = self.object_api
        if self.timing:
            settings["timing"] = {name: str(value) for name, value in self.timing.items()}
        path = os.path.join(self.folder, "instance-%d.ini" % len(self.instances))
        with open(path, "w") as file:
            settings.write(file)
        instance = Instance(len(self.instances), zone, peer, caller, operators, path)
        self.instances.append(instance)
        return instance

    def start_process(self, arguments, log_name, wait_for_ready):
        log = open(os.path.join(self.folder, log_name), "ab")
        output = subprocess.PIPE if wait_for_ready else log
        process = subprocess.Popen(arguments, stdout=output, stderr=log)
        self.processes.append(process)
        if wait_for_ready and b"ready" not in process.stdout.readline():
            raise RuntimeError(arguments[0] + " did not start; see " + log.name)
        return process

    def start_object_api(self):
        program = os.path.join(BUILD, "standins/object_api/standin-object-api")
        self.start_process([program, "--listen", self.object_api, "--threads", "200"],
                           "object-api.log", True)

    def start_upstreams(self):
        settings = self.read_settings()
        program = os.path.join(BUILD, "standins/upstream/standin-upstream")
        arguments = [program, "--register", "http://" + self.object_api]
        planned = []
        for pool, count in self.sizes.items():
            section = settings["pool " + pool]
            cold = self.cold.get(pool, int(section["cold_capacity"]))
            for index in range(count):
                zone = self.zones[index % len(self.zones)]
                name = "%s-%d" % (pool, index)
                address = self.ports.take()
                arguments += ["--upstream", "id=%s,listen=%s,pool=%s,kind=%s,zone=%s,capacity=%s,"
                              "cold=%d" % (name, address, pool, section["kind"], zone,
                                           section["capacity"], cold)]
                planned.append((name, address, pool, zone))
        process = self.start_process(arguments, "upstreams.log", True)
        self.upstreams = [Upstream(*one, process) for one in planned]
        for upstream in self.upstreams:
            if self.upstream_defaults:
                upstream.control(**self.upstream_defaults)

    def start_instance(self, instance):
        program = os.path.join(BUILD, "src/app/cyclamenmountd")
        instance.process = self.start_process(
            [program, "--settings", instance.settings_file],
            "instance-%d.log" % instance.index, False)
        self.list_instance(instance, "live")

    def list_instance(self, instance, state):
        self.fault_free_post("/_instances", {
            "id": "entry-%d" % instance.index, "address": instance.peer, "zone": instance.zone,
            "role": "entry", "state": state})

    def fault_free_post(self, path, body):
        return exchange(self.object_api, "POST", path, body)

    def fault(self, **orders):
        """Orders the Object API stand-in to fail, e.g. down=True."""
        return self.fault_free_post("/_fault", orders)

    def start(self, wait=30.0):
        self.start_object_api()
        self.start_upstreams()
        for instance in self.instances:
            self.start_instance(instance)
        self.load_lists()
        self.wait_until(lambda: all(one.ready() for one in self.instances), wait,
                        "every instance is ready")

    def load_lists(self):
        for name in ("allowances", "plans"):
            with open(os.path.join(self.example, name + ".ini")) as file:
                text = file.read()
            self.wait_until(lambda: self.put_list(name, text), 15.0, name + " are accepted")

    def put_list(self, name, text):
        try:
            answer = self.instances[0].operator_call(
                "PUT", "/v1/lists/" + name, text.encode(),
                {"If-Match": '"0"', "X-Reason": "first list"})
        except OSError:
            return False
        return answer.status in (200, 409)

    @staticmethod
    def wait_until(condition, limit, what):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if condition():
                return
            time.sleep(0.05)
        raise RuntimeError("not within %.0f s: %s" % (limit, what))

    def pool(self, name):
        return [one for one in self.upstreams if one.pool == name]

    def stop_instance(self, instance, limit=30.0):
        """SIGTERM; returns the exit code."""
        instance.send(signal.SIGTERM)
        code = instance.process.wait(limit)
        self.list_instance(instance, "gone")
        return code

    def kill_instance(self, instance):
        instance.send(signal.SIGKILL)
        instance.process.wait()

    def end(self):
        for process in reversed(self.processes):
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for process in self.processes:
            try:
                process.wait(5.0)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


class PipelineAnswer:
    """A caller's view of one pipeline request."""

    def __init__(self, status, frames, problem, took, first_frame):
        self.status = status
        self.frames = frames
        self.problem = problem
        self.took = took
        self.first_frame = first_frame

    def text(self):
        return "".join(frame.get("token", "") for frame in self.frames)

    def whole(self):
        """True if the frames are numbered from 0 without a gap and end with a final frame."""
        if not self.frames or not self.frames[-1].get("final"):
            return False
        numbered = [frame.get("frame") for frame in self.frames] == list(range(len(self.frames)))
        return numbered and self.frames[-1].get("count") == len(self.frames) - 1


def run_pipeline(instance, pipeline, text, workspace, deadline_ms=None, key=None, max_tokens=24,
                 timeout=15.0):
    """Runs a pipeline as a caller does; raises OSError if the connection breaks off."""
    headers = {"Authorization": "Bearer " + workspace_key(workspace)}
    if deadline_ms:
        headers["X-Deadline-Ms"] = str(deadline_ms)
    if key:
        headers["Idempotency-Key"] = key
    host, port = instance.caller.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    begun = time.monotonic()
    try:
        connection.request("POST", "/v1/pipelines/" + pipeline,
                           json.dumps({"input": text, "max_tokens": max_tokens}).encode(), headers)
        response = connection.getresponse()
        if response.status != 200:
            problem = json.loads(response.read())
            return PipelineAnswer(response.status, [], problem, time.monotonic() - begun, None)
        frames, first = [], None
        for line in response:
            first = first or time.monotonic() - begun
            frames.append(json.loads(line))
        problem = frames[-1].get("error") if frames else None
        return PipelineAnswer(200, frames, problem, time.monotonic() - begun, first)
    except (http.client.HTTPException, ValueError) as failure:
        raise OSError(str(failure)) from failure
    finally:
        connection.close()


def call_service(instance, service, operation, body, workspace, key=None, timeout=15.0):
    """Calls a plain service; raises OSError if there is no answer."""
    headers = {"Authorization": "Bearer " + workspace_key(workspace)}
    if key:
        headers["Idempotency-Key"] = key
    return exchange(instance.caller, "POST", "/v1/services/%s/%s" % (service, operation), body,
                    headers, timeout)


def key_hash(workspace):
    return hashlib.sha256(workspace_key(workspace).encode()).hexdigest()
