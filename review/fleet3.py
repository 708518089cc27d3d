"""A small deployment on loopback for the scripts of the third review.

Starts mstep-control and mstep-gateway as the deploy file does, with settings rendered from
its templates, and offers stand-ins for the operator, the replicas and the requesters that
follow the users' pages. Everything that is sent, answered and run goes into record.txt.
"""
import http.client
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEY = "n2ctnfzs989anu6wsjnb"
HOST = "ficu95.example"
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
# Of the sheet of the smaller deployment.
PARAMETERS = {"stable_window_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
              "config_apply_ms": 2000, "budget_ratio": 0.2, "budget_window_s": 10, "budget_extra": 54,
              "recovery_s": 12, "cap_factor": 2}
ZONES = ["accra-a", "tema-b", "kasoa-c"]


class NotRun(Exception):
    """The case could not be played."""


class Record:
    def __init__(self, folder):
        self.file = open(folder / "record.txt", "w")
        self.lock = threading.Lock()
        self.began = time.monotonic()

    def write(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.began:8.3f}  {text}\n")
            self.file.flush()


def render(template, fields):
    """Fills in a settings template; only plain placeholders, as our templates use."""
    def value_of(name):
        value = fields
        for part in name.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        return value

    def replace(match):
        value = value_of(match[1])
        return json.dumps(value) if match[2] else "" if value is None else str(value)
    return re.sub(r"\{\{([a-z_.]+)(\|json)?\}\}", replace, template)


class Process:
    """A program of the deploy file with its own loopback address."""

    def __init__(self, fleet, role, name, ip, zone):
        self.fleet, self.role, self.name, self.ip, self.zone = fleet, role, name, ip, zone
        self.data_dir = fleet.folder / name / "data"
        self.data_dir.mkdir(parents=True)
        self.child = None
        self.starts = 0
        core = role == "control"
        self.limits = {"memory_mb": 256 if core else 260, "max_fds": 4096 if core else 4100,
                       "link_mbps": 6 if core else 1000.0}

    def settings(self):
        core = self.role == "control"
        listen = ({"control": f"{self.ip}:{self.fleet.control_port}"} if core else
                  {"front": f"{self.ip}:{self.fleet.front_port}", "ready": f"{self.ip}:{self.fleet.ready_port}"})
        return {"node_name": self.name, "role": self.role, "ip": self.ip, "zone": self.zone,
                "zones": {it: "gh-south" for it in ZONES}, "listen": listen,
                "internal_port_range": [self.fleet.first_port, self.fleet.first_port + 15],
                "seeds": self.fleet.seeds, "bootstrap": self.starts == 0, "heartbeat_ms": 1200,
                "limits": self.limits,
                "data_dir": str(self.data_dir) if core else None,
                "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0}, "contract_params": PARAMETERS}

    def start(self):
        if self.fleet.stopped:
            return
        template = (ROOT / "platform" / f"{self.role}.yaml.in").read_text()
        path = self.fleet.folder / self.name / "boot.json"
        path.write_text(render(template, self.settings()))
        self.starts += 1
        log = open(self.fleet.folder / f"{self.name}.log", "ab")
        self.child = subprocess.Popen([str(ROOT / "target/bin" / f"mstep-{self.role}"), "--config", str(path)],
                                      cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=subprocess.STDOUT)
        log.close()
        self.fleet.record.write(f"{self.name} started, process {self.child.pid}")

    def signal(self, number):
        self.fleet.record.write(f"{self.name} gets {signal.Signals(number).name}")
        if self.child.poll() is None:
            self.child.send_signal(number)

    def wait(self, limit_s):
        try:
            code = self.child.wait(limit_s)
        except subprocess.TimeoutExpired:
            return None
        self.fleet.record.write(f"{self.name} ended with {code}")
        return code


class Fleet:
    """Three control processes and some gateways, with the operator's and provider's calls."""

    def __init__(self, case_folder, gateways=2):
        self.record = Record(pathlib.Path(case_folder))
        self.stopped = False
        if not (ROOT / "target/bin/mstep-gateway").exists():
            raise NotRun("the programs of the deploy file are not built")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review3-"))
        self.control_port, self.front_port, self.ready_port, self.first_port = 8229, 8227, 8220, 7340
        self.net = self.find_free_net()
        self.seeds = [f"{self.net}.{10 + i}:{self.control_port}" for i in range(3)]
        self.control = [Process(self, "control", f"core-{ZONES[i]}-1", f"{self.net}.{10 + i}", ZONES[i])
                        for i in range(3)]
        self.gateways = [Process(self, "gateway", f"edge-{i}", f"{self.net}.{40 + i}", ZONES[i % 3])
                         for i in range(gateways)]
        self.replicas = []
        self.last_ip = 100

    def find_free_net(self):
        """A loopback network on whose first addresses all ports of the fleet are free."""
        ports = [self.control_port, self.front_port, self.ready_port, *range(self.first_port, self.first_port + 16)]
        for _ in range(20):
            net = f"127.{random.randrange(16, 250)}.{random.randrange(1, 250)}"
            try:
                for ip in (f"{net}.10", f"{net}.40"):
                    for port in ports:
                        socket.create_server((ip, port)).close()
                return net
            except OSError:
                continue
        raise NotRun("no free ports")

    def new_ip(self):
        self.last_ip += 1
        return f"{self.net}.{self.last_ip}"

    def start(self):
        for it in self.control + self.gateways:
            it.start()

    def stop(self):
        self.stopped = True
        for it in self.replicas:
            it.stop()
        for it in self.control + self.gateways:
            if it.child and it.child.poll() is None:
                it.child.kill()
            if it.child:
                it.child.wait()
        if os.environ.get("KEEP"):
            print("kept", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def call(self, address, method, path, body=None, limit_s=1.0):
        """A call of the control API, with up to two redirects; (0, b"") without a response."""
        host, port = address.rsplit(":", 1)
        for _ in range(3):
            connection = http.client.HTTPConnection(host, int(port), timeout=limit_s)
            try:
                connection.request(method, path, body, {"Content-Type": "application/json"} if body else {})
                response = connection.getresponse()
                text = response.read()
            except (OSError, http.client.HTTPException):
                return 0, b""
            finally:
                connection.close()
            if response.status != 307:
                return response.status, text
            host, port = re.match(r"http://([^:/]+):(\d+)", response.getheader("Location")).groups()
        return 307, b""

    def store(self, config, limit_s=20.0):
        """Sends a configuration until it is confirmed; returns the time of the confirmation."""
        text = json.dumps(config)
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            address = random.choice(self.seeds)
            status, _ = self.call(address, "POST", "/v1/Config.Replace", text)
            self.record.write(f"operator sends version {config['version']} to {address}: {status or 'no response'}")
            if status == 200:
                return time.monotonic()
            if status == 400:
                raise NotRun("a valid configuration was refused")
            time.sleep(0.2)
        raise NotRun("the configuration was not confirmed")

    def is_ready(self, gateway):
        return self.call(f"{gateway.ip}:{self.ready_port}", "GET", "/v1/ready", limit_s=1.0)[0] == 200

    def wait_until_ready(self, limit_s=20.0):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if all(self.is_ready(it) for it in self.gateways):
                self.record.write("all gateways are ready")
                return
            time.sleep(0.2)
        raise NotRun("the gateways did not become ready")


def route(name, prefix, kind, service, timeout_ms=3000, attempts=1, **more):
    return {"name": name, "host": HOST, "path_prefix": prefix, "type": kind, "timeout_ms": timeout_ms,
            "target_latency_ms": 300, "priority": 1, "service": service, "max_attempts": attempts, "public": False,
            "sticky": False, "can_resume": False, "target_gap_ms": 500, **more}


def configuration(version, routes, services, limits=None):
    return {"version": version, "routes": routes,
            "services": [{"name": it, "health_check": "/health", "max_conns": 100, "protocol": "h1", "tls": False}
                         for it in services],
            "limits": {"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000, **(limits or {})},
            "tenants": [{"name": "hule930", "api_keys": [KEY], "priority": 1}]}


def read_message(stream):
    """Reads an HTTP message from a buffered stream: (first line, headers, body), or None."""
    line = stream.readline().decode("latin1").strip()
    if not line:
        return None
    headers = {}
    while True:
        text = stream.readline().decode("latin1")
        if text in ("\r\n", "\n"):
            break
        if not text:
            return None
        name, _, value = text.partition(":")
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    body = stream.read(size)
    return (line, headers, body) if len(body) == size else None


class Replica:
    """A replica with liveness reports. handle(connection, line, headers, body) sends the
    response and returns whether the channel stays open."""

    def __init__(self, fleet, service, handle, name=None, ip=None, port=8080, slots=6, zone=ZONES[0]):
        self.fleet, self.service, self.handle, self.slots, self.zone = fleet, service, handle, slots, zone
        self.id = name or f"i-{random.getrandbits(40):010x}"
        self.ip, self.port = ip or fleet.new_ip(), port
        self.born = int(time.time() * 1000)
        self.sequence, self.state, self.stopped = 0, "ready", False
        self.runs = []
        self.listener = socket.create_server((self.ip, self.port), backlog=128)
        fleet.replicas.append(self)
        threading.Thread(target=self.accept, daemon=True).start()
        threading.Thread(target=self.report_forever, daemon=True).start()

    def stop(self):
        self.stopped = True
        self.listener.close()

    def accept(self):
        while not self.stopped:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        try:
            stream = connection.makefile("rb")
            while True:
                message = read_message(stream)
                if not message:
                    return
                line, headers, body = message
                request = headers.get("marigoldstep-request-id", "")
                if line.split(" ")[1] == "/health":
                    connection.sendall(f"HTTP/1.1 200 OK\r\nMarigoldstep-Instance-Id: {self.id}\r\n"
                                       "Content-Length: 0\r\n\r\n".encode())
                    continue
                if headers.get("marigoldstep-target-instance") not in (None, self.id):
                    self.fleet.record.write(f"replica {self.id} answers {request}: 421")
                    connection.sendall(f"HTTP/1.1 421 Misdirected Request\r\nMarigoldstep-Request-Id: {request}\r\n"
                                       "Marigoldstep-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode())
                    continue
                self.runs.append((request, time.monotonic()))
                self.fleet.record.write(f"replica {self.id} ({self.service}) runs {request}: {line}")
                if not self.handle(self, connection, line, headers, body):
                    return
        except OSError:
            pass
        finally:
            connection.close()

    def head(self, request, status="200 OK"):
        return (f"HTTP/1.1 {status}\r\nMarigoldstep-Request-Id: {request}\r\n"
                f"Marigoldstep-Response-Seal: {self.id}.{request}\r\n")

    def report(self):
        self.sequence += 1
        body = json.dumps({"service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone,
                           "version": "v1", "slots": self.slots, "state": self.state, "warmup_left_ms": 0,
                           "seq": self.sequence, "born": self.born})
        for address in random.sample(self.fleet.seeds, 3):
            if self.fleet.call(address, "POST", f"/v1/Replicas.Heartbeat/{self.id}", body)[0] == 200:
                return True
        return False

    def report_forever(self):
        while not self.stopped:
            self.report()
            time.sleep(1.2)


class ProcessReplica(Replica):
    """A replica that is a program of its own, called with IP, port and id, so that it can be
    killed; this object reports it and records what it prints."""

    def __init__(self, fleet, service, program, port=8080):
        self.process, self.printed = None, ""
        super().__init__(fleet, service, None, port=port + 1)
        self.listener.close()
        self.port = port
        self.process = subprocess.Popen([sys.executable, str(program), self.ip, str(port), self.id],
                                        stdin=subprocess.DEVNULL, stdout=subprocess.PIPE, text=True)
        threading.Thread(target=self.copy_output, daemon=True).start()

    def copy_output(self):
        for line in self.process.stdout:
            self.printed += line
            self.fleet.record.write(f"replica {self.id} {line.strip()}")

    def accept(self):
        pass

    def report(self):
        return self.process is not None and super().report()

    def kill(self):
        self.fleet.record.write(f"replica {self.id} is killed")
        self.stopped = True
        self.process.kill()

    def stop(self):
        super().stop()
        if self.process:
            self.process.kill()
            self.process.wait()


def find_running(replicas, request):
    """The one ProcessReplica that runs the request."""
    found = [it for it in replicas if request in it.printed]
    if len(found) != 1:
        raise NotRun(f"{len(found)} replicas run the request")
    return found[0]


def answer_whole(replica, connection, line, headers, body):
    """Answers a fixed text with its length."""
    request = headers.get("marigoldstep-request-id", "")
    text = f"answer to {request}".encode()
    connection.sendall(replica.head(request).encode() + f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
    return True


def new_request_id():
    return f"{random.getrandbits(64):016x}"


def request_bytes(path, request, method="GET", body=b"", deadline_ms=3000, more=""):
    length = f"Content-Length: {len(body)}\r\n" if body or method != "GET" else ""
    return (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nMarigoldstep-Request-Id: {request}\r\n"
            f"Marigoldstep-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\n{more}{length}\r\n"
            ).encode() + body


def run_case(play):
    """Plays a case: play() returns a list of breaks of the rule, as texts."""
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    fleet = None
    try:
        fleet = Fleet(folder)
        breaks = play(fleet)
    except Exception as ex:  # any failure of the script itself says nothing about the rule
        if fleet:
            fleet.record.write(f"the case could not run: {ex!r}")
        print(f"not run: {ex!r}")
        sys.exit(EXIT_NOT_RUN)
    finally:
        if fleet:
            fleet.stop()
    for it in breaks:
        fleet.record.write(f"BROKEN: {it}")
        print(f"BROKEN: {it}")
    fleet.record.write("the rule was broken" if breaks else "the rule held")
    sys.exit(EXIT_BROKEN if breaks else EXIT_HELD)
