"""A small fleet on loopback for the cases 6 to 10: the project's own programs as separate
processes, started with the commands of the deploy file and settings from its templates, and
stand-ins for replicas, the operator and requesters."""
import asyncio
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
import time

ROOT = pathlib.Path(__file__).resolve().parents[1]
BOUNDS = {"drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
          "stable_window_ms": 3000, "budget_ratio": 0.2, "budget_window_s": 10,
          "budget_extra": 54, "cap_factor": 2}


class CannotRun(Exception):
    """The case could not be run; exit status 2."""


class Record:
    """Writes record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(folder / "record.txt", "w", buffering=1)
        self.began = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} s  {text}\n")


def render(template, fields):
    """Fills in {{a.b}} and {{a.b|json}}, which are all that the project's templates use."""
    def value(match):
        name, _, form = match.group(1).partition("|")
        it = fields
        for part in name.split("."):
            it = it[part]
        return json.dumps(it) if form == "json" else str(it)
    return re.sub(r"\{\{([^}]+)\}\}", value, (ROOT / template).read_text())


def pick_hosts(n):
    """n loopback addresses of a /24 network that is drawn at random."""
    net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
    return [f"{net}.{i + 1}" for i in range(n)]


def pick_ports(hosts, n):
    """The first of n consecutive ports that are free at every host."""
    for _ in range(200):
        first = random.randint(12000, 30000)
        taken = []
        try:
            for host in hosts:
                for port in range(first, first + n):
                    it = socket.socket()
                    taken.append(it)
                    it.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    it.bind((host, port))
            return first
        except OSError:
            continue
        finally:
            for it in taken:
                it.close()
    raise CannotRun("no free ports")


class Node:
    """One process of the deploy file."""

    def __init__(self, fleet, kind, host, zone, number):
        self.fleet, self.kind, self.host, self.zone = fleet, kind, host, zone
        self.name = f"{kind}-{number}"
        self.data = fleet.folder / f"{self.name}.data"
        self.settings = fleet.folder / f"{self.name}.yaml"
        self.child = None
        self.starts = 0
        self.fields = {}

    def write_settings(self):
        port = self.fleet.port
        self.fields = {
            "node_name": self.name, "zone": self.zone, "region": "region-1",
            "zones": {it: "region-1" for it in self.fleet.zones}, "ip": self.host,
            "listen": {"front": f"{self.host}:{port + 16}", "ready": f"{self.host}:{port + 17}",
                       "control": f"{self.host}:{port + 18}"},
            "internal_port_range": [port, port + 15], "seeds": self.fleet.seeds(),
            "bootstrap": self.starts == 0,
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "limits": self.fleet.gateway_limits if self.kind == "gateway" else
            {"memory_mb": 256, "max_fds": 4096, "link_mbps": 6},
            "heartbeat_ms": 1200, "contract_params": BOUNDS,
            "data_dir": str(self.data) if self.kind == "control" else None}
        text = render(f"platform/{self.kind}.yaml.in", self.fields)
        self.settings.write_text(text)

    def start(self):
        if self.kind == "control":
            self.data.mkdir(exist_ok=True)
        self.write_settings()
        self.starts += 1
        log = open(self.fleet.folder / f"{self.name}.log", "ab")
        self.child = subprocess.Popen(
            [str(ROOT / "target/bin" / f"mstep-{self.kind}"), "--config", str(self.settings)],
            stdout=log, stderr=subprocess.STDOUT, cwd=ROOT)
        log.close()
        self.fleet.record(f"{self.name} started at {self.host}")

    def send_signal(self, number):
        if self.child and self.child.poll() is None:
            self.fleet.record(f"{self.name} gets {signal.Signals(number).name}")
            self.child.send_signal(number)

    def is_running(self):
        return self.child is not None and self.child.poll() is None

    def memory_mb(self):
        """Anonymous memory in use, without that of the shared libraries; 0 once it has ended."""
        try:
            for line in open(f"/proc/{self.child.pid}/status"):
                if line.startswith("RssAnon:"):
                    return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0

    async def wait_for_end(self, limit_s):
        until = time.monotonic() + limit_s
        while self.is_running() and time.monotonic() < until:
            await asyncio.sleep(0.01)
        return not self.is_running()


class Fleet:
    def __init__(self, folder, gateways=2, controls=3, zones=("zone-a", "zone-b", "zone-c"),
                 gateway_limits=None):
        if not (ROOT / "target/bin/mstep-gateway").exists():
            raise CannotRun("target/bin/mstep-gateway is missing")
        self.record = Record(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.zones = zones
        self.gateway_limits = {"memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0} | (gateway_limits or {})
        hosts = pick_hosts(gateways + controls)
        self.port = pick_ports(hosts, 19)
        self.controls = [Node(self, "control", hosts[i], zones[i % len(zones)], i + 1) for i in range(controls)]
        self.gateways = [Node(self, "gateway", hosts[controls + i], zones[i % len(zones)], i + 1)
                         for i in range(gateways)]
        self.replicas = []

    def seeds(self):
        return [f"{it.host}:{self.port + 18}" for it in self.controls[:3]]

    def front(self, gateway):
        return gateway.host, self.port + 16

    def control_address(self, node):
        return node.host, self.port + 18

    async def start(self):
        for it in self.controls + self.gateways:
            it.start()

    async def wait_until_ready(self, limit_s=20):
        until = time.monotonic() + limit_s
        for it in self.gateways:
            while True:
                answer = await call(it.host, self.port + 17, "GET", "/v1/ready")
                if answer and answer.status == 200:
                    break
                if time.monotonic() > until:
                    raise CannotRun(f"{it.name} is not ready")
                await asyncio.sleep(0.1)
        self.record("all gateways are ready")

    async def send_config(self, config, limit_s=20, nodes=None):
        """As the operator: again to another node until one confirms it."""
        body = json.dumps(config).encode()
        until = time.monotonic() + limit_s
        nodes = list(nodes or self.controls)
        while time.monotonic() < until:
            for it in nodes:
                host, port = self.control_address(it)
                answer = await call(host, port, "POST", "/v1/Config.Replace", body,
                                    {"Content-Type": "application/json"}, limit_s=1.0)
                for _ in range(2):
                    if answer and answer.status == 307:
                        host, _, port = answer.fields["location"].split("/")[2].partition(":")
                        answer = await call(host, int(port), "POST", "/v1/Config.Replace", body,
                                            {"Content-Type": "application/json"}, limit_s=1.0)
                self.record(f"operator sends version {config['version']} to {it.name}: "
                            f"{answer.status if answer else 'no answer'}")
                if answer and answer.status == 200:
                    return True
            await asyncio.sleep(0.3)
        return False

    async def stop(self, keep=False):
        for it in self.replicas:
            await it.close()
        for it in self.controls + self.gateways:
            if it.is_running():
                it.child.send_signal(signal.SIGCONT)
                it.child.kill()
                it.child.wait()
        if keep or os.environ.get("KEEP_LOGS"):
            print(f"logs are kept in {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    def __init__(self, status, fields, body, whole):
        self.status, self.fields, self.body, self.whole = status, fields, body, whole


async def read_head(reader):
    """Start line and header fields in lower case; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    """The body, and whether it is whole."""
    out = b""
    try:
        if fields.get("transfer-encoding") == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                out += (await reader.readexactly(size + 2))[:size]
                if size == 0:
                    return out, True
        if "content-length" in fields:
            out = await reader.readexactly(int(fields["content-length"]))
        return out, True
    except asyncio.IncompleteReadError as it:
        return out + it.partial, False
    except (ConnectionError, ValueError, asyncio.LimitOverrunError):
        return out, False


async def call(host, port, method, path, body=b"", fields=None, limit_s=1.0, local=None):
    """One request on a new connection. None without a response in time."""
    async def run():
        reader, writer = await asyncio.open_connection(host, port, local_addr=local)
        try:
            host_field = (fields or {}).pop("Host", host)
            head = f"{method} {path} HTTP/1.1\r\nHost: {host_field}\r\nContent-Length: {len(body)}\r\n"
            head += "".join(f"{k}: {v}\r\n" for k, v in (fields or {}).items())
            writer.write(head.encode() + b"\r\n" + body)
            got = await read_head(reader)
            if got is None:
                return None
            content, whole = await read_body(reader, got[1])
            return Answer(int(got[0].split()[1]), got[1], content, whole)
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(run(), limit_s)
    except (OSError, asyncio.TimeoutError):
        return None


class Replica:
    """A sound replica: it reports every heartbeat interval, serves what names it, and echoes the
    request's id. serve(replica, line, fields, body, writer) writes the response."""

    def __init__(self, fleet, service, zone, serve, slots=6, host=None):
        self.fleet, self.service, self.zone, self.serve, self.slots = fleet, service, zone, serve, slots
        self.id = f"i-{random.randrange(1 << 40):010x}"
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        self.host = host or "127.0.0.1"
        self.server = None
        self.tasks = set()
        self.ran = []
        fleet.replicas.append(self)

    async def start(self):
        self.server = await asyncio.start_server(self.handle, self.host, 0, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        self.tasks.add(asyncio.ensure_future(self.report()))

    async def report_once(self, path="Heartbeat"):
        self.seq += 1
        body = json.dumps({"service": self.service, "address": f"{self.host}:{self.port}",
                           "zone": self.zone, "version": "v1", "slots": self.slots,
                           "state": self.state, "warmup_left_ms": 0, "seq": self.seq,
                           "born": self.born}).encode()
        for it in random.sample(self.fleet.controls, len(self.fleet.controls)):
            answer = await call(*self.fleet.control_address(it), "POST", f"/v1/Replicas.{path}/{self.id}",
                                body, {"Content-Type": "application/json"}, limit_s=1.0)
            if answer and 200 <= answer.status < 300:
                return True
        return False

    async def report(self):
        while True:
            acked = await self.report_once()
            await asyncio.sleep(1.2 if acked else 0.2)

    async def handle(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, fields = head
                body, whole = await read_body(reader, fields)
                if not whole:
                    return
                request_id = fields.get("marigoldstep-request-id", "")
                if fields.get("marigoldstep-target-instance") != self.id:
                    writer.write(f"HTTP/1.1 421 no\r\nMarigoldstep-Request-Id: {request_id}\r\n"
                                 f"Marigoldstep-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode())
                    continue
                self.ran.append(request_id)
                self.fleet.record(f"{self.id} runs {request_id}")
                await self.serve(self, line, fields, body, writer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def close(self):
        if self.server:
            self.server.close()
        for it in self.tasks:
            it.cancel()


def seal(replica, request_id):
    return f"{replica.id}.{request_id}"


def make_route(name, host, prefix, kind, service, **more):
    out = {"name": name, "host": host, "path_prefix": prefix, "type": kind, "timeout_ms": 12000,
           "target_latency_ms": 500, "priority": 1, "service": service, "max_attempts": 2,
           "public": True, "sticky": False, "can_resume": False}
    out.update(more)
    return out


def make_config(version, routes, services):
    return {"version": version, "routes": routes,
            "services": [{"name": it, "health_check": "/health", "max_conns": 100, "protocol": "h1",
                          "tls": False} for it in services],
            "limits": {"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}


def main(case, limit_s=110):
    """Runs case(folder, with_trouble), which returns whether the rule held."""
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        held = asyncio.run(asyncio.wait_for(case(folder, with_trouble), limit_s))
    except (CannotRun, asyncio.TimeoutError) as it:
        print(f"could not run: {it!r}")
        sys.exit(2)
    print("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
