"""Starts real programs and stand-ins on loopback for the demo and the cases.

Uses only Python's standard library. Processes are ended by the process id under
which they were started.
"""

import concurrent.futures
import http.client
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import time

SEED = 20261202


# Below the kernel's range of ephemeral ports. A port within that range could be
# taken by an outgoing connection after it was found free and before the program
# that should listen on it starts.
PORTS = range(10000, 32000)
BLOCK = 50
_guards = []
_unused = []


def _take_block():
    """Adds the ports of a block that no other process of the tests has taken.

    The block belongs to the process that has bound its first port, until that
    process ends. Otherwise two processes may find the same port free before the
    program that should listen on it has started.
    """
    rng = random.SystemRandom()
    while True:
        first = rng.choice(range(PORTS.start, PORTS.stop, BLOCK))
        guard = socket.socket()
        try:
            guard.bind(("127.0.0.1", first))
        except OSError:
            guard.close()
            continue
        _guards.append(guard)
        _unused.extend(range(first + 1, first + BLOCK))
        return


def _is_free(port):
    with socket.socket() as each:
        try:
            each.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def free_ports(count):
    """Returns `count` ports that are free now, and that neither this process
    nor another process of the tests was given."""
    ports = []
    while len(ports) < count:
        if not _unused:
            _take_block()
        port = _unused.pop()
        if _is_free(port):
            ports.append(port)
    return ports


def write_safetensors(path, size, seed=SEED):
    """Writes a file of about `size` bytes in the safetensors format."""
    tensors = {}
    offset = 0
    tensor_bytes = 4 << 20
    while offset < size:
        length = min(tensor_bytes, size - offset)
        tensors["layer.%d.weight" % len(tensors)] = {
            "dtype": "U8", "shape": [length],
            "data_offsets": [offset, offset + length]}
        offset += length
    header = json.dumps(tensors).encode()
    rng = random.Random(seed)
    with open(path, "wb") as file:
        file.write(struct.pack("<Q", len(header)))
        file.write(header)
        for tensor in tensors.values():
            begin, end = tensor["data_offsets"]
            file.write(rng.randbytes(end - begin))


class Reply:
    """Status, headers and body of an HTTP response; body None if truncated."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)

    @property
    def outcome(self):
        return self.headers.get("x-outcome", "")


def call(address, method, path, body=None, headers=None, timeout=30):
    """Sends one HTTP request. Raises OSError if it cannot connect."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        if isinstance(body, (dict, list)):
            body = json.dumps(body)
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        names = {k.lower(): v for k, v in answer.getheaders()}
        try:
            data = answer.read()
        except http.client.IncompleteRead:
            data = None
        return Reply(answer.status, names, data)
    finally:
        connection.close()


def wait_for(what, condition, timeout=60, interval=0.05):
    """Waits until `condition()` is true; raises after `timeout` seconds."""
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(interval)
    raise AssertionError("waited in vain: " + what)


class Process:
    """One program that this harness started."""

    def __init__(self, name, command, log_path):
        self.name = name
        self.command = command
        self.log_path = log_path
        self.log = open(log_path, "ab")
        self.child = subprocess.Popen(command, stdout=self.log,
                                      stderr=self.log)

    def send(self, number):
        if self.child.poll() is None:
            os.kill(self.child.pid, number)

    def kill(self):
        self.send(signal.SIGKILL)
        self.child.wait()

    def freeze(self):
        self.send(signal.SIGSTOP)

    def wake(self):
        self.send(signal.SIGCONT)

    def stop(self, timeout=40):
        """Requests a graceful stop by SIGTERM; returns the exit code."""
        self.wake()
        self.send(signal.SIGTERM)
        return self.child.wait(timeout)

    def alive(self):
        return self.child.poll() is None


class Cluster:
    """Stand-ins, entries and targets on loopback."""

    def __init__(self, bin_folder, work_folder):
        self.bin = bin_folder
        self.work = work_folder
        os.makedirs(work_folder, exist_ok=True)
        self.processes = {}
        self.settings = {}
        self.hosts = []
        self.entries = []
        self.targets = []
        ports = free_ports(4)
        self.table, self.origin, self.host_list, self.object_store = [
            "127.0.0.1:%d" % port for port in ports]

    def path(self, name):
        return os.path.join(self.work, name)

    def program(self, name):
        for folder in ("src", "testsuite"):
            path = os.path.join(self.bin, folder, name)
            if os.path.exists(path):
                return path
        raise AssertionError("no program " + name)

    def start_platform_program(self, name, program, settings):
        """Starts an entry or a target in the mode for the users' platform."""
        return self.start(name, program, settings, ["--platform"])

    def start(self, name, program, settings, options=()):
        # A second process of the same name would replace the first in
        # `processes`, so that stop() would not end the first one, which would
        # then write into the store of a later run.
        assert name not in self.processes or \
            not self.processes[name].alive(), name + " is running"
        path = self.path(name + ".json")
        with open(path, "w") as file:
            json.dump(settings, file, indent=1)
        self.settings[name] = (program, settings, options)
        command = [self.program(program)] + list(options) + ["-s", path]
        process = Process(name, command, self.path(name + ".log"))
        self.processes[name] = process
        return process

    def restart(self, name):
        return self.start(name, *self.settings[name])

    def start_platform(self, origin_link=0):
        self.start("table", "standin_table", {"listen": self.table})
        self.start("object_store", "standin_object_store",
                   {"listen": self.object_store})
        self.start("origin", "standin_origin",
                   {"listen": self.origin, "folder": self.work,
                    "link": origin_link})

    def start_host_list(self):
        with open(self.path("hosts.json"), "w") as file:
            json.dump(self.host_list_document(), file)
        self.start("host_list", "standin_host_list",
                   {"listen": self.host_list, "file": self.path("hosts.json")})
        for address in (self.table, self.origin, self.host_list,
                        self.object_store):
            self.wait_listening(address)

    def host_list_document(self):
        return [{"targets": [host["peer"]], "labels": host["labels"]}
                for host in self.hosts]

    def publish_hosts(self):
        call(self.host_list, "PUT", "/hosts", self.host_list_document())

    def set_host_state(self, name, state):
        for host in self.hosts:
            if host["labels"]["host"] == name:
                host["labels"]["state"] = state
        self.publish_hosts()

    def add_entry(self, name, region="mtl", data_center="mtl-1", **extra):
        callers, operators, peers = [
            "127.0.0.1:%d" % port for port in free_ports(3)]
        self.hosts.append({"peer": peers, "labels": {
            "host": name, "role": "entry", "region": region,
            "data_center": data_center, "callers": callers}})
        settings = {"host": name, "region": region,
                    "data_center": data_center,
                    "listen": {"callers": callers, "operators": operators,
                               "peers": peers},
                    "platform": {"table": self.table,
                                 "object_store": self.object_store,
                                 "host_list": self.host_list}}
        settings.update(extra)
        entry = {"name": name, "callers": callers, "operators": operators,
                 "peers": peers, "settings": settings}
        self.entries.append(entry)
        return entry

    def add_target(self, name, pool, kind="engine", region="mtl",
                   data_center="mtl-1", backend=None, capacity=8, **extra):
        peers, weights, backend_address = [
            "127.0.0.1:%d" % port for port in free_ports(3)]
        if backend:
            backend_address = backend
        self.hosts.append({"peer": peers, "labels": {
            "host": name, "role": "target", "region": region,
            "data_center": data_center, "pool": pool}})
        settings = {"host": name, "pool": pool, "region": region,
                    "data_center": data_center,
                    "listen": {"peers": peers, "weights": weights},
                    "backend": {"kind": kind, "address": backend_address,
                                "capacity": capacity},
                    "platform": {"table": self.table, "origin": self.origin,
                                 "host_list": self.host_list}}
        settings.update(extra)
        target = {"name": name, "peers": peers, "backend": backend_address,
                  "kind": kind, "settings": settings}
        self.targets.append(target)
        return target

    def add_relay(self, target):
        """Starts a relay in front of `target`; returns its command address."""
        commands, relay = ["127.0.0.1:%d" % port for port in free_ports(2)]
        for host in self.hosts:
            if host["labels"]["host"] == target["name"]:
                host["peer"] = relay
        self.start(target["name"] + "-relay", "standin_relay",
                   {"listen": commands, "relay": relay,
                    "forward": target["peers"]})
        self.wait_listening(commands)
        return commands

    def start_hosts(self, token_us=1000, work_ms=5):
        for target in self.targets:
            self.start_backend(target, token_us, work_ms)
            self.start(target["name"], "vltarget", target["settings"])
        for entry in self.entries:
            self.start(entry["name"], "vlentry", entry["settings"])
        for entry in self.entries:
            self.wait_listening(entry["callers"])
            self.wait_listening(entry["operators"])

    def start_backend(self, target, token_us=1000, work_ms=5):
        name = target["name"] + "-backend"
        settings = {"listen": target["backend"]}
        if target["kind"] == "engine":
            self.start(name, "standin_engine",
                       dict(settings, token_us=token_us))
        else:
            self.start(name, "standin_service",
                       dict(settings, work_ms=work_ms))

    def wait_listening(self, address):
        host, port = address.rsplit(":", 1)

        def answers():
            try:
                socket.create_connection((host, int(port)), 0.2).close()
                return True
            except OSError:
                return False

        wait_for("a listener at " + address, answers, 20)

    def vlctl(self, *words, entry=0, check=True):
        done = subprocess.run(
            [self.program("vlctl"), "-e", self.entries[entry]["operators"],
             *words], capture_output=True, text=True, timeout=60)
        if check and done.returncode != 0:
            raise AssertionError("vlctl %s: %d %s" % (
                " ".join(words), done.returncode, done.stderr))
        return done

    def apply(self, resources, entry=0):
        """Declares `resources`, preceded by the models of the versions."""
        resources = resources if isinstance(resources, list) else [resources]
        models = {resource["spec"]["model"] for resource in resources
                  if resource["kind"] == "version"}
        declared = [{"kind": "model", "name": model, "spec": {}}
                    for model in sorted(models)]
        resources = declared + resources
        path = self.path("apply.json")
        with open(path, "w") as file:
            json.dump(resources, file)
        return self.vlctl("apply", "-f", path, entry=entry)

    def make_version(self, name, model, size, seed=SEED, chunk_size=1 << 20):
        """Writes a weights file at the origin; returns its version resource."""
        file_name = name + ".safetensors"
        write_safetensors(self.path(file_name), size, seed)
        done = self.vlctl("manifest", self.path(file_name), "--model", model,
                          "--name", name, "--chunk-size", str(chunk_size))
        return json.loads(done.stdout)

    def status(self, entry=0):
        return call(self.entries[entry]["operators"], "GET",
                    "/v1/status").json()

    def live(self, digest, entry=0):
        """Names of the targets that serve `digest`."""
        return {target["name"] for target in self.status(entry)["targets"]
                if target["open"] and target["digest"] == digest}

    def faults(self, address, **faults):
        call(address, "POST", "/faults", faults)

    def stop(self):
        for process in self.processes.values():
            if process.alive():
                process.wake()
                process.kill()


def declare_model(cluster, size=1 << 20):
    """Declares version v1 of model breakdowns, served by pool drafting to
    organisation acme. Returns the digest of its weights."""
    version = cluster.make_version("v1", "breakdowns", size)
    cluster.apply([
        {"kind": "limits", "name": "acme", "spec": {"weight": 1}}, version,
        {"kind": "pool", "name": "drafting", "spec": {"version": "v1"}},
        {"kind": "route", "name": "breakdowns", "spec": {"pool": "drafting"}}])
    return version["spec"]["digest"]


def expected_text(digest, prompt, tokens):
    """The text that the stand-in engine generates."""
    import hashlib
    words = []
    for index in range(tokens):
        seed = "%s|%s|%d" % (digest, prompt, index)
        words.append(hashlib.sha256(seed.encode()).hexdigest()[:6] + " ")
    return "".join(words)


def completion(entry, model, prompt, tokens=8, stream=False, organisation="acme",
               headers=None, timeout=30):
    names = {"x-organisation": organisation, "content-type": "application/json"}
    names.update(headers or {})
    return call(entry["callers"], "POST", "/v1/completions",
                {"model": model, "prompt": prompt, "max_tokens": tokens,
                 "stream": stream}, names, timeout)


def confirm(entry, key, body="{}", timeout_ms=20000, service="fee-ledger"):
    """Sends a non-idempotent call to the plain service."""
    return call(entry["callers"], "POST", "/services/%s/confirm" % service,
                body, {"x-organisation": "acme", "x-idempotent": "false",
                       "idempotency-key": key,
                       "x-timeout-ms": str(timeout_ms)}, 60)


def in_parallel(count, function):
    """Runs function(0) ... function(count - 1) in threads; returns results."""
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        return list(pool.map(function, range(count)))


def declare_service(cluster, pool="ledger", service="fee-ledger"):
    cluster.apply([
        {"kind": "limits", "name": "acme", "spec": {"weight": 1}},
        {"kind": "pool", "name": pool, "spec": {"service": service}},
        {"kind": "service", "name": service, "spec": {"pool": pool}}])


def wait_open(cluster, count):
    """Waits until every entry sees `count` targets that accept requests."""
    for entry in range(len(cluster.entries)):
        wait_for("%d open targets" % count, lambda: sum(
            1 for target in cluster.status(entry)["targets"]
            if target["open"]) >= count)


def service_runs(*targets):
    """Maps each key to how often it ran on all `targets` together."""
    total = {}
    for target in targets:
        for key, runs in call(target["backend"], "GET", "/runs").json().items():
            total[key] = total.get(key, 0) + runs
    return total


def check_truth(reported, runs):
    """Checks each reported outcome, by key, against how often the call ran."""
    allowed = {"completed": (1,), "failed": (1,), "refused": (0,),
               "unknown": (0, 1)}
    for key, outcome in reported.items():
        ran = runs.get(key, 0)
        assert ran in allowed[outcome], "%s: told %s, ran %d times" % (
            key, outcome, ran)


def streamed_text(reply):
    """Returns the text of a complete event stream; None if it was truncated."""
    if reply.body is None:
        return None
    text = ""
    lines = [line[6:] for line in reply.body.decode().split("\n")
             if line.startswith("data: ")]
    if not lines or lines[-1] != "[DONE]":
        return None
    for line in lines[:-1]:
        text += json.loads(line)["choices"][0]["text"]
    return text


def run_case(body):
    """Runs `body(cluster)` in a temporary folder and ends its processes.

    If `body` raises, prints the last lines of each log. Deletes the folder
    unless --keep is given.
    """
    import argparse
    import tempfile
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", required=True)
    parser.add_argument("--keep", action="store_true")
    options = parser.parse_args()
    work = tempfile.mkdtemp(prefix="verbenalead-")
    cluster = Cluster(options.bin, work)
    try:
        body(cluster)
        print("passed")
    except BaseException:
        for name in sorted(os.listdir(work)):
            if name.endswith(".log"):
                with open(os.path.join(work, name), errors="replace") as log:
                    tail = log.readlines()[-25:]
                print("---- " + name, *tail, sep="\n", file=sys.stderr)
        for name, process in sorted(cluster.processes.items()):
            if not process.alive():
                print("---- %s had ended: %d" % (name, process.child.poll()),
                      file=sys.stderr)
        raise
    finally:
        cluster.stop()
        if not options.keep:
            import shutil
            shutil.rmtree(work, ignore_errors=True)
