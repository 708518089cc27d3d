"""Starts a fleet with its stand-ins on loopback, for scripts/demo and scripts/chaos.

Processes are ended only through the Popen objects that started them, never by name.
All files are in a temporary folder.
"""

import json
import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import urllib.request
from dataclasses import dataclass, field

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# Heartbeats are sent every 0.5 s; after two of them routers know every agent.
MEMBERSHIP_DELAY_S = 1.0
# With fewer attempts per server the ratio of loads is not meaningful.
MIN_MEAN_FOR_SKEW = 2
# Tokens per second of an engine that runs one request. Puts about two attempts on each
# engine, below the load floor of four. In a run with six attempts per engine the load
# limit stayed at the floor although engines had free slots, and most requests were
# refused.
ENGINE_TOKENS_PER_SECOND = 100
BIN = os.path.join(ROOT, "build", "bin")
HOST = "127.0.0.1"


@dataclass(frozen=True)
class Deployment:
    """Properties of a deployment that the generated configuration does not contain."""

    name: str
    zones: tuple
    pool: str
    service: str
    service_path: str
    engines: int
    services: int


DEPLOYMENTS = {
    "volta": Deployment(
        "volta", ("accra-a", "tema-b", "kasoa-c"), "marigold-pool", "booking-svc", "/bookings", 10, 3
    ),
    "archive": Deployment(
        "archive",
        ("mvd-a", "mvd-b", "can-c", "sjo-d"),
        "mstep-pool",
        "archivo-web",
        "/donations",
        10,
        5,
    ),
}


def free_ports(count):
    """Finds free ports; keeps all sockets open until the last one is found, so that no
    port is returned twice."""
    sockets = []
    for _ in range(count):
        it = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        it.bind((HOST, 0))
        sockets.append(it)
    ports = [it.getsockname()[1] for it in sockets]
    for it in sockets:
        it.close()
    return ports


def http(method, port, path, body=None, timeout=2.0):
    request = urllib.request.Request(
        f"http://{HOST}:{port}{path}", data=body, method=method
    )
    with urllib.request.urlopen(request, timeout=timeout) as answer:
        return answer.read().decode()


def read_metrics(port):
    """Reads /metrics and sums the samples of each metric over all labels."""
    totals = {}
    for line in http("GET", port, "/metrics").splitlines():
        if line.startswith("#") or " " not in line:
            continue
        name, value = line.split()[:2]
        name = name.split("{")[0]
        totals[name] = totals.get(name, 0.0) + float(value)
    return totals


@dataclass
class Node:
    """One program with its settings file."""

    name: str
    program: str
    settings: str
    admin: int = 0
    process: subprocess.Popen = None
    expected_exit: bool = False

    def alive(self):
        return self.process is not None and self.process.poll() is None


@dataclass
class Fleet:
    deployment: Deployment
    folder: str
    log_level: str = "info"
    controls: list = field(default_factory=list)
    routers: list = field(default_factory=list)
    agents: list = field(default_factory=list)
    engines: list = field(default_factory=list)
    services: list = field(default_factory=list)
    control_addresses: list = field(default_factory=list)
    router_addresses: list = field(default_factory=list)
    engine_addresses: list = field(default_factory=list)
    service_addresses: list = field(default_factory=list)
    configuration: str = ""

    def nodes(self):
        return self.controls + self.routers + self.agents + self.engines + self.services


def write(path, text):
    with open(path, "w", encoding="utf-8") as out:
        out.write(text)
    return path


def find_pool_models(text, pool):
    """Models of a pool in a generated configuration, in flow or block style."""
    text = re.sub(r" +#.*", "", text).replace('"', "")
    section = re.search(r"^pools:\n((?:[ -].*\n)+)", text, re.M).group(1)
    entry = re.search(rf"- name: {re.escape(pool)}\n((?: (?!- name).*\n|\s+- (?!name).*\n)*)", section)
    body = entry.group(1) if entry else section
    flow = re.search(r"models: \[([^\]]*)\]", body)
    if flow:
        return [it.strip() for it in flow.group(1).split(",") if it.strip()]
    block = re.search(r"models:\n((?:\s+- .*\n)+)", body)
    return [it.strip()[2:] for it in block.group(1).splitlines()]


def generate_configuration(deployment, folder, configuration_file=None):
    """Writes the fleet's configuration and returns its path and text. It is copied from
    configuration_file, or generated from the questionnaire of the deployment."""
    if configuration_file:
        with open(configuration_file, encoding="utf-8") as source:
            text = source.read()
    else:
        questionnaire = os.path.join(ROOT, "examples", f"{deployment.name}.yaml")
        text = subprocess.run(
            [os.path.join(BIN, "mstepctl"), "generate", questionnaire],
            check=True,
            capture_output=True,
            text=True,
        ).stdout
    return write(os.path.join(folder, "fleet.yaml"), text), text


def plan_fleet(
    deployment,
    folder,
    configuration_file=None,
    controls=3,
    routers=3,
    engine_speed=ENGINE_TOKENS_PER_SECOND,
):
    """Writes the settings files of all processes; starts none of them."""
    fleet = Fleet(deployment, folder)
    fleet.configuration, text = generate_configuration(deployment, folder, configuration_file)
    models = ", ".join(find_pool_models(text, deployment.pool))
    backends = deployment.engines + deployment.services
    ports = iter(free_ports(controls * 3 + routers * 2 + backends * 3))
    plan_controls(fleet, controls, ports)
    plan_routers(fleet, routers, ports)
    for i in range(deployment.engines):
        mode_settings = f"models: [{models}]\ntokens_per_second: {engine_speed}\n"
        mode_settings += f"checks_fencing: {'true' if i % 2 else 'false'}\n"
        plan_backend(fleet, fleet.engines, f"engine-{i}", "engine", deployment.pool, i, ports, mode_settings)
    for i in range(deployment.services):
        plan_backend(fleet, fleet.services, f"service-{i}", "service", deployment.service, i, ports, "")
    return fleet


def add_node(fleet, group, name, program, settings, admin):
    logs = f"log_level: {fleet.log_level}\nlog_file: {fleet.folder}/{name}.log\n"
    path = write(os.path.join(fleet.folder, f"{name}.yaml"), settings + logs)
    group.append(Node(name, program, path, admin))


def plan_controls(fleet, count, ports):
    control_ports = [(next(ports), next(ports), next(ports)) for _ in range(count)]
    fleet.control_addresses = [f"{HOST}:{it[0]}" for it in control_ports]
    for i, (listen, peer, admin) in enumerate(control_ports):
        data = os.path.join(fleet.folder, f"control-{i}")
        os.mkdir(data)
        settings = (
            f"data_dir: {data}\nlisten: {HOST}:{listen}\nlisten_peer: {HOST}:{peer}\n"
            f"admin: {HOST}:{admin}\nbootstrap_configuration: {fleet.configuration}\n"
        )
        others = [it for it in control_ports if it[0] != listen]
        if others:
            settings += "peers:\n"
        for other in others:
            settings += f"  - {{host: {HOST}, port: {other[1]}}}\n"
        add_node(fleet, fleet.controls, f"control-{i}", "mstep-control", settings, admin)


def plan_routers(fleet, count, ports):
    control = ", ".join(fleet.control_addresses)
    for i in range(count):
        listen, admin = next(ports), next(ports)
        zone = fleet.deployment.zones[i % len(fleet.deployment.zones)]
        fleet.router_addresses.append(f"{HOST}:{listen}")
        settings = (
            f"node_id: router-{i}\nzone: {zone}\nlisten: {HOST}:{listen}\n"
            f"admin: {HOST}:{admin}\ncontrol: [{control}]\n"
        )
        add_node(fleet, fleet.routers, f"router-{i}", "mstep-router", settings, admin)


def plan_backend(fleet, group, name, mode, service, index, ports, mode_settings):
    backend, listen, admin = next(ports), next(ports), next(ports)
    zone = fleet.deployment.zones[index % len(fleet.deployment.zones)]
    control = ", ".join(fleet.control_addresses)
    addresses = fleet.engine_addresses if mode == "engine" else fleet.service_addresses
    addresses.append(f"{HOST}:{backend}")
    settings = f"node_id: {name}\nlisten: {HOST}:{backend}\nmode: {mode}\n{mode_settings}"
    add_node(fleet, group, name, "mstep-stand-in", settings, 0)
    settings = (
        f"node_id: agent-{name}\nzone: {zone}\nlisten: {HOST}:{listen}\nadmin: {HOST}:{admin}\n"
        f"control: [{control}]\nbackend: {HOST}:{backend}\nservice: {service}\n"
    )
    settings += "".join(it + "\n" for it in mode_settings.splitlines() if it.startswith("models:"))
    add_node(fleet, fleet.agents, f"agent-{name}", "mstep-agent", settings, admin)


def start(fleet, node):
    with open(os.path.join(fleet.folder, f"{node.name}.err"), "ab") as errors:
        node.process = subprocess.Popen(
            [os.path.join(BIN, node.program), "--config", node.settings],
            stdout=errors,
            stderr=errors,
        )


def kill(node, number=signal.SIGKILL):
    node.expected_exit = True
    if node.alive():
        node.process.send_signal(number)
        node.process.wait()


def start_fleet(fleet, limit_s=20.0):
    """Starts all processes and waits until routers and agents are ready."""
    for node in fleet.nodes():
        start(fleet, node)
    waiting = fleet.routers + fleet.agents
    deadline = time.monotonic() + limit_s
    while waiting:
        waiting = [it for it in waiting if not is_ready(it)]
        ended = [it.name for it in fleet.nodes() if not it.alive()]
        if ended or time.monotonic() > deadline:
            names = ended or [it.name for it in waiting]
            raise RuntimeError(f"not ready or ended: {', '.join(names)}")
        time.sleep(0.05)
    time.sleep(MEMBERSHIP_DELAY_S)


def is_ready(node):
    try:
        return http("GET", node.admin, "/readyz").startswith("ready")
    except OSError:
        return False


def stop_fleet(fleet):
    """Stops all running processes: sends SIGTERM, and SIGKILL after 5 s."""
    running = [it for it in fleet.nodes() if it.alive()]
    for node in running:
        node.process.send_signal(signal.SIGCONT)
        node.process.send_signal(signal.SIGTERM)
    deadline = time.monotonic() + 5
    for node in running:
        try:
            node.process.wait(max(0.1, deadline - time.monotonic()))
        except subprocess.TimeoutExpired:
            node.process.kill()
            node.process.wait()


def find_leader(fleet):
    """Index of the control process that reports itself as leader, or None."""
    for i, node in enumerate(fleet.controls):
        if not node.alive():
            continue
        try:
            for line in http("GET", node.admin, "/metrics", timeout=0.5).splitlines():
                if re.match(r"marigoldstep_control_(is_)?(leader|leading)(\{[^}]*\})? 1", line):
                    return i
        except OSError:
            pass
    return None


class Sampler(threading.Thread):
    """Reads the metrics of agents and routers twice a second."""

    def __init__(self, fleet):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.stopped = threading.Event()
        self.skews = []
        self.control_bytes = {}  # router name: first and last sample as (time, bytes)

    def run(self):
        while not self.stopped.wait(0.5):
            self.sample_loads()
            for node in self.fleet.routers:
                self.sample_control(node)

    def sample_loads(self):
        loads = []
        for node in self.fleet.agents:
            if not node.name.startswith("agent-engine") or node.expected_exit:
                continue
            try:
                totals = read_metrics(node.admin)
            except OSError:
                continue
            loads.append(
                totals.get("marigoldstep_agent_running_attempts", 0)
                + totals.get("marigoldstep_agent_queued_attempts", 0)
            )
        mean = sum(loads) / len(loads) if loads else 0
        if mean >= MIN_MEAN_FOR_SKEW:
            self.skews.append(max(loads) / mean)

    def sample_control(self, node):
        try:
            totals = read_metrics(node.admin)
        except OSError:
            return
        count = totals.get("marigoldstep_router_control_sent_bytes_total", 0) + totals.get(
            "marigoldstep_router_control_received_bytes_total", 0
        )
        now = time.monotonic()
        first = self.control_bytes.get(node.name, ((now, count),))[0]
        if count < first[1]:
            first = (now, count)  # the router was restarted
        self.control_bytes[node.name] = (first, (now, count))

    def stop(self):
        self.stopped.set()
        self.join()

    def control_rates(self):
        rates = {}
        for name, (first, last) in self.control_bytes.items():
            if last[0] > first[0]:
                rates[name] = (last[1] - first[1]) / (last[0] - first[0])
        return rates


def write_load_settings(fleet, values, calls, lookups):
    runs = ", ".join(fleet.service_addresses)
    text = f"targets: [{', '.join(fleet.router_addresses)}]\n"
    text += f"fleet_configuration: {fleet.configuration}\njson: true\n"
    text += "services:\n"
    text += f"  - {{name: {fleet.deployment.service}, path: {fleet.deployment.service_path}, "
    text += f"calls: {calls}, lookups: {lookups}, runs: [{runs}]}}\n"
    text += "".join(f"{key}: {value}\n" for key, value in values.items())
    return write(os.path.join(fleet.folder, "load.yaml"), text)


def start_load(fleet, settings):
    output = open(os.path.join(fleet.folder, "load.json"), "wb")
    errors = open(os.path.join(fleet.folder, "load.err"), "wb")
    with output, errors:
        return subprocess.Popen(
            [os.path.join(BIN, "mstep-load"), "--config", settings], stdout=output, stderr=errors
        )


def wait_for_load(fleet, process, limit_s):
    """Waits for the load tool and returns its exit status and report."""
    try:
        process.wait(limit_s)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
    with open(os.path.join(fleet.folder, "load.json"), encoding="utf-8") as source:
        text = source.read()
    return process.returncode, json.loads(text) if text else {}


def total(report, end):
    return sum(report[it][end] for it in ("chats", "calls", "lookups"))


def report_rows(report):
    """Table rows that demo and chaos share."""
    rows = [("requests", total(report, "requests"))]
    for end in ("whole", "cut", "wrong", "failed", "not_run", "may_have_run"):
        rows.append((end.replace("_", " "), total(report, end)))
    rows += [
        ("doubled runs", report["doubled"]),
        ('"not run" that ran', report["not_run_ran"]),
        ('"not run" on a later send that ran', report["later_not_run_ran"]),
        ("complete responses without a run", report["whole_without_run"]),
        ("completed calls resent", report["rechecked"]),
        ("lost responses of completed calls", report["lost_answers"]),
        ("not started or unfinished", report["not_started"] + report["unfinished"]),
        ("repeated sends", total(report, "sends") - total(report, "requests")),
        ("resumed responses", total(report, "resumes")),
        ("cache reuse of returning turns", f"{100 * report['cache_reuse']:.1f} %"),
    ]
    for what in ("chats", "calls"):
        it = report["latency"][what]
        rows.append((f"{what}: p50 / p99", f"{it['p50_ms']:.1f} / {it['p99_ms']:.1f} ms"))
    return rows


def print_table(rows):
    width = max(len(label) for label, _ in rows)
    for label, value in rows:
        print(f"{label:<{width}}  {value:>16}")


class TemporaryFolder:
    """A temporary folder that is removed on exit unless keep is set."""

    def __enter__(self):
        self.path = tempfile.mkdtemp(prefix="marigoldstep-")
        self.keep = False
        return self

    def __exit__(self, *_):
        if self.keep:
            print(f"logs are kept in {self.path}")
        else:
            shutil.rmtree(self.path, ignore_errors=True)
