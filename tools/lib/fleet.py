"""Starts stand-ins and daemons on loopback, for the demo and the benchmarks.

Uses only the standard library. A Fleet ends the processes that it started, by their handles.
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

# Number of upstreams in each pool.
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
    """Returns the key of a workspace; the example plans.ini files hold its SHA-256 hash."""
    return workspace + "-example-key"


class Response:
    """Status, headers (names in lower case) and body of one HTTP response."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)


def exchange(address, method, path, body=None, headers=None, timeout=10.0):
    """Sends one HTTP request on a new connection; raises OSError if there is no response."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        payload = json.dumps(body).encode() if isinstance(body, (dict, list)) else body
        connection.request(method, path, body=payload, headers=headers or {})
        response = connection.getresponse()
        lower_case_headers = {name.lower(): value for name, value in response.getheaders()}
        return Response(response.status, lower_case_headers, response.read())
    except http.client.HTTPException as error:
        raise OSError(str(error)) from error
    finally:
        connection.close()


class PortRange:
    """Allocates loopback addresses whose ports are free at the time of the call."""

    def __init__(self, first_port):
        self.next_port = first_port

    def allocate(self):
        while True:
            port = self.next_port
            self.next_port += 1
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind(("127.0.0.1", port))
                    return "127.0.0.1:%d" % port
                except OSError:
                    continue


class Upstream:
    """An upstream simulated by a stand-in process."""

    def __init__(self, name, address, pool, zone, process):
        self.name = name
        self.address = address
        self.pool = pool
        self.zone = zone
        self.process = process

    def control(self, **settings):
        return exchange(self.address, "POST", "/_control", settings)

    def read_counters(self):
        return exchange(self.address, "GET", "/_truth").json()


class Instance:
    """A daemon instance and its addresses."""

    def __init__(self, index, zone, peer_address, caller_address, operator_address, settings_file):
        self.index = index
        self.zone = zone
        self.peer_address = peer_address
        self.caller_address = caller_address
        self.operator_address = operator_address
        self.settings_file = settings_file
        self.process = None
        self.in_rotation = True  # the load balancer sends requests to it

    def is_alive(self):
        return self.process is not None and self.process.poll() is None

    def send_signal(self, signal_number):
        self.process.send_signal(signal_number)

    def operator_call(self, method, path, body=None, headers=None, timeout=10.0):
        all_headers = {"Authorization": "Bearer " + OPERATOR_SECRET, "X-Operator": "demo"}
        all_headers.update(headers or {})
        return exchange(self.operator_address, method, path, body, all_headers, timeout)

    def status(self):
        return self.operator_call("GET", "/v1/status").json()

    def is_ready(self):
        try:
            return exchange(self.caller_address, "GET", "/readyz", timeout=2.0).status == 200
        except OSError:
            return False


class Fleet:
    """The Object API stand-in, upstreams and instances of one deployment."""

    def __init__(self, deployment, instances, first_port=24000, sizes=None, timing=None,
                 upstream_defaults=None, cold_capacities=None):
        self.deployment = deployment
        self.zones = ZONES[deployment]
        self.sizes = sizes or SIZES[deployment]
        self.cold_capacities = cold_capacities or {}
        self.timing = timing or {}
        self.upstream_defaults = upstream_defaults or {}
        self.ports = PortRange(first_port)
        self.folder = tempfile.mkdtemp(prefix="cyclamenmount-")
        self.example_folder = os.path.join(ROOT, "examples", deployment)
        self.processes = []
        self.upstreams = []
        self.instances = []
        self.object_api = self.ports.allocate()
        self.peer_secret = self.write_secret("peer.secret", PEER_SECRET)
        self.operator_secret = self.write_secret("operator.secret", OPERATOR_SECRET)
        for index in range(instances):
            self.add_instance(self.zones[index % len(self.zones)])

    def __enter__(self):
        return self

    def __exit__(self, *error):
        self.stop()

    def write_secret(self, name, text):
        path = os.path.join(self.folder, name)
        with open(os.open(path, os.O_WRONLY | os.O_CREAT, 0o600), "w") as file:
            file.write(text + "\n")
        return path

    def read_settings(self):
        settings = configparser.ConfigParser(delimiters=("=",), comment_prefixes=(";",))
        settings.read(os.path.join(self.example_folder, "daemon.ini"))
        return settings

    def add_instance(self, zone):
        peer_address, caller_address, operator_address = (self.ports.allocate() for _ in range(3))
        settings = self.read_settings()
        settings["instance"].update({
            "zone": zone, "peer_listen": peer_address, "caller_listen": caller_address,
            "operator_listen": operator_address, "peer_secret_file": self.peer_secret,
            "operator_secret_file": self.operator_secret,
        })
        settings["platform"]["object_api"] = self.object_api
        if self.timing:
            settings["timing"] = {name: str(value) for name, value in self.timing.items()}
        path = os.path.join(self.folder, "instance-%d.ini" % len(self.instances))
        with open(path, "w") as file:
            settings.write(file)
        instance = Instance(len(self.instances), zone, peer_address, caller_address,
                            operator_address, path)
        self.instances.append(instance)
        return instance

    def start_process(self, arguments, log_name, wait_for_ready):
        log = open(os.path.join(self.folder, log_name), "ab")
        output = subprocess.PIPE if wait_for_ready else log
        process = subprocess.Popen(arguments, stdout=output, stderr=log)
        self.processes.append(process)
        if wait_for_ready and b"ready" not in process.stdout.readline():
            raise RuntimeError(arguments[0] + " did not report a successful start; see " + log.name)
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
            cold = self.cold_capacities.get(pool, int(section["cold_capacity"]))
            for index in range(count):
                zone = self.zones[index % len(self.zones)]
                name = "%s-%d" % (pool, index)
                address = self.ports.allocate()
                arguments += ["--upstream", "id=%s,listen=%s,pool=%s,kind=%s,zone=%s,capacity=%s,"
                              "cold=%d" % (name, address, pool, section["kind"], zone,
                                           section["capacity"], cold)]
                planned.append((name, address, pool, zone))
        process = self.start_process(arguments, "upstreams.log", True)
        self.upstreams = [Upstream(*entry, process) for entry in planned]
        for upstream in self.upstreams:
            if self.upstream_defaults:
                upstream.control(**self.upstream_defaults)

    def start_instance(self, instance):
        program = os.path.join(BUILD, "src/app/cyclamenmountd")
        instance.process = self.start_process(
            [program, "--settings", instance.settings_file],
            "instance-%d.log" % instance.index, False)
        self.set_instance_state(instance, "live")

    def set_instance_state(self, instance, state):
        self.post_to_object_api("/_instances", {
            "id": "entry-%d" % instance.index, "address": instance.peer_address,
            "zone": instance.zone, "role": "entry", "state": state})

    def post_to_object_api(self, path, body):
        return exchange(self.object_api, "POST", path, body)

    def set_store_faults(self, **settings):
        """Sets faults of the Object API stand-in, e.g. down=True."""
        return self.post_to_object_api("/_fault", settings)

    def start(self, wait=30.0):
        self.start_object_api()
        self.start_upstreams()
        for instance in self.instances:
            self.start_instance(instance)
        self.load_lists()
        self.wait_until(lambda: all(instance.is_ready() for instance in self.instances), wait,
                        "every instance is ready")

    def load_lists(self):
        for name in ("allowances", "plans"):
            with open(os.path.join(self.example_folder, name + ".ini")) as file:
                text = file.read()
            self.wait_until(lambda: self.put_list(name, text), 15.0, name + " are accepted")

    def put_list(self, name, text):
        try:
            response = self.instances[0].operator_call(
                "PUT", "/v1/lists/" + name, text.encode(),
                {"If-Match": '"0"', "X-Reason": "first list"})
        except OSError:
            return False
        return response.status in (200, 409)

    @staticmethod
    def wait_until(condition, limit, description):
        deadline = time.monotonic() + limit
        while time.monotonic() < deadline:
            if condition():
                return
            time.sleep(0.05)
        raise RuntimeError("timed out after %.0f s: %s" % (limit, description))

    def pool(self, name):
        return [upstream for upstream in self.upstreams if upstream.pool == name]

    def stop_instance(self, instance, limit=30.0):
        """Stops the instance with SIGTERM; returns the exit code."""
        instance.send_signal(signal.SIGTERM)
        code = instance.process.wait(limit)
        self.set_instance_state(instance, "gone")
        return code

    def kill_instance(self, instance):
        instance.send_signal(signal.SIGKILL)
        instance.process.wait()

    def stop(self):
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


class PipelineResponse:
    """Response to one pipeline request as its caller received it; times in seconds."""

    def __init__(self, status, frames, problem, duration, first_frame):
        self.status = status
        self.frames = frames
        self.problem = problem
        self.duration = duration
        self.first_frame = first_frame

    def text(self):
        return "".join(frame.get("token", "") for frame in self.frames)

    def is_complete(self):
        """Returns whether the frames are numbered from 0 without gaps and the last one is final."""
        if not self.frames or not self.frames[-1].get("final"):
            return False
        numbered = [frame.get("frame") for frame in self.frames] == list(range(len(self.frames)))
        return numbered and self.frames[-1].get("count") == len(self.frames) - 1


def run_pipeline(instance, pipeline, text, workspace, deadline_ms=None, key=None, max_tokens=24,
                 timeout=15.0):
    """Runs a pipeline as a caller does; raises OSError if the connection breaks."""
    headers = {"Authorization": "Bearer " + workspace_key(workspace)}
    if deadline_ms:
        headers["X-Deadline-Ms"] = str(deadline_ms)
    if key:
        headers["Idempotency-Key"] = key
    host, port = instance.caller_address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    started_at = time.monotonic()
    try:
        connection.request("POST", "/v1/pipelines/" + pipeline,
                           json.dumps({"input": text, "max_tokens": max_tokens}).encode(), headers)
        response = connection.getresponse()
        if response.status != 200:
            problem = json.loads(response.read())
            return PipelineResponse(response.status, [], problem, time.monotonic() - started_at,
                                    None)
        frames, first = [], None
        for line in response:
            first = first or time.monotonic() - started_at
            frames.append(json.loads(line))
        problem = frames[-1].get("error") if frames else None
        return PipelineResponse(200, frames, problem, time.monotonic() - started_at, first)
    except (http.client.HTTPException, ValueError) as error:
        raise OSError(str(error)) from error
    finally:
        connection.close()


def call_service(instance, service, operation, body, workspace, key=None, timeout=15.0):
    """Calls a plain service; raises OSError if there is no response."""
    headers = {"Authorization": "Bearer " + workspace_key(workspace)}
    if key:
        headers["Idempotency-Key"] = key
    return exchange(instance.caller_address, "POST", "/v1/services/%s/%s" % (service, operation),
                    body, headers, timeout)


def key_hash(workspace):
    return hashlib.sha256(workspace_key(workspace).encode()).hexdigest()
