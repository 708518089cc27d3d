"""One seeded run of the soak test: starts the fleet, generates load and faults, checks guarantees."""
import asyncio
import datetime
import itertools
import os
import pathlib
import random
import shutil
import signal
import socket
import tempfile
import time

from soak_callers import KEY, Callers
from soak_control_faults import ControlFaults
from soak_crowds import MEMORY_MB, Crowds
from soak_departures import Departures
from soak_operator import MAX_APPLY_S, Operator
from soak_processes import MIN_SIGNAL_AGE_S, UNDISTURBED_S, Process
from soak_proxies import Network
from soak_server_faults import ServerFaults
from soak_servers import read_message
from soak_streams import Run
from soak_versions import Versions

# By seed, unless given.
CONTROL_COUNTS = [5, 3, 3]
GATEWAY_COUNTS = [3, 3, 8, 3, 3, 3, 24]
MAX_SEEDS = 3
# Every so often the faults pause until the fleet is calm.
BURST_S = (3.0, 7.0)
SERVER_FAULT_RATE, PROCESS_FAULT_RATE = 1.0, 1.5  # a second
SERVED_AFTER_S = 6.0
MAX_REDIRECTS = 2
STOP_TIME_S = 4
# Uses up the retry budget at times, so that callers resume their streams themselves.
KILL_ALL_SHARE = 0.5  # of the bursts that end with the loss of all processes
CUT_RATE = 0.25
REPEAT_RATE = 0.25
STATUS_RATE = 0.1
LINKS_PORT = 2  # offset from the first port
FIRST_PORT, PORT_COUNT, MAX_PORT_ATTEMPTS = 10000, 20000, 200
MAX_CONTROL = 40  # replaced ones included
# Low enough that gateways forward a message of 300 bytes to three gateways, and that the
# reports of four servers fill their part of the link.
SLOW_LINK_MBPS_PER_GATEWAY = 0.2 / 3


class Fleet(ControlFaults, ServerFaults):
    def __init__(self, seed, seconds, bin_folder, control_count, gateway_count):
        self.seed, self.seconds, self.bin = seed, seconds, bin_folder
        self.random = random.Random(seed)
        self.control_count = control_count or CONTROL_COUNTS[seed % len(CONTROL_COUNTS)]
        self.gateway_count = gateway_count or GATEWAY_COUNTS[seed % len(GATEWAY_COUNTS)]
        # Some fleets have more control processes than this requires.
        self.tolerated_losses = 1 + (self.control_count >= 5 and seed // 6 % 2)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="mstep-soak-"))
        self.runs = {}  # by request id
        self.run_count = 0
        self.cut_rate = 0.0  # fraction of streams and large responses that break off
        self.repeat_rate = 0.0  # fraction of responses that are sent twice
        self.status_rate = 0.0  # fraction of requests that servers refuse or fail
        self.problems, self.events = [], []
        self.counts = {"control": self.control_count, "gateways": self.gateway_count} | dict.fromkeys(
            ["calm_reads", "unread", "series", "silenced", "cut_off", "erased", "replaced", "asked", "answered",
             "refused", "failed", "faults", "versions", "handed_over", "leaving", "backoffs", "cut", "left",
             "resumed", "killed_all", "departed", "delayed", "crowds", "peak_mb", "cold_starts", "cold_arrivals", "second_at_once", "second_idle", "second_next", "second_nameless"], 0)
        self.stopping = False
        self.leaving_told = {}  # by gateway and server: when a response said that it leaves
        self.drain_s = 0.5
        self.faulty_control = set()
        self.callers = Callers(self)
        self.operator = Operator(self)
        self.network = Network(self.random)
        self.versions = Versions(self)
        self.departures = Departures(self)
        self.crowds = Crowds(self)
        self.started_servers = []  # those that have ended included

    def record_run(self, request, server, last_event):
        self.run_count += 1
        run = Run(self.run_count, request, server, last_event)
        self.runs.setdefault(request, []).append(run)
        return run

    def find_runs(self, request):
        return self.runs.get(request, [])

    def report_problem(self, text):
        self.problems.append(text)
        self.record_event("problem: " + text)

    def record_event(self, text):
        """For the times in the logs of the processes."""
        now = datetime.datetime.now(datetime.timezone.utc)
        self.events.append(f"{now:%H:%M:%S.%f} {text}\n")

    def free_ports(self, n):
        # Every loopback address of the fleet uses the same ports, below the kernel's range for
        # outgoing connections.
        hosts = [f"127.{net}.0.{i + 1}" for net, count in ((77, MAX_CONTROL), (78, self.gateway_count), (79, MAX_CONTROL))
                 for i in range(count)]
        offset = os.getpid() * 64 + self.seed * 16
        for attempt in range(MAX_PORT_ATTEMPTS):
            base = FIRST_PORT + (offset + attempt * n) % PORT_COUNT
            try:
                for host, port in itertools.product(hosts, range(base, base + n)):
                    with socket.socket() as it:
                        it.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        it.bind((host, port))
                return base
            except OSError:
                continue
        raise RuntimeError("no free ports")

    def list_seeds(self):
        """Some addresses of the operator's list, which may contain a replaced process."""
        hosts = self.random.sample(self.control_hosts, min(MAX_SEEDS, len(self.control_hosts)))
        return [f"{host}:{self.api_port}" for host in hosts]

    async def make_processes(self):
        self.first_port = self.free_ports(12)
        self.api_port, self.front_port = self.first_port + 8, self.first_port + 9
        self.control_hosts = [f"127.77.0.{i + 1}" for i in range(self.control_count)]
        seeds = self.list_seeds()
        self.control = [await self.add_control(first_start=True, seeds=seeds) for _ in range(self.control_count)]
        self.gateways = [Process(self, "gateway", f"127.78.0.{i + 1}", {
            **self.common_settings(seeds), "node_id": f"g{i}", "zone": "z", "host": f"127.78.0.{i + 1}",
            "listen": f"127.78.0.{i + 1}:{self.front_port}", "listen_ready": f"127.78.0.{i + 1}:{self.front_port + 1}",
            "stop_time_s": STOP_TIME_S, "memory_mb": MEMORY_MB["gateway"],
            "retry_budget": {"ratio": 0.2, "extra": 60, "window_s": 10}}) for i in range(self.gateway_count)]

    def common_settings(self, seeds):
        return {"ports": [str(self.first_port), str(self.first_port + 7)], "seeds": seeds, "report_interval_ms": 500}

    async def add_control(self, first_start, seeds):
        """Returns a control process at a new address, behind proxies for every connection to it."""
        i = len(self.network.proxies)
        host, listen_host = f"127.77.0.{i + 1}", f"127.79.0.{i + 1}"
        # With odd seeds the links of control are slow, so that gateways forward changes and
        # receive reports of servers.
        link_settings = {"link_mbps": SLOW_LINK_MBPS_PER_GATEWAY * self.gateway_count} if self.seed % 2 else {}
        await self.network.add_host(host, listen_host, [self.first_port, self.first_port + LINKS_PORT, self.api_port])
        return Process(self, "control", host, {
            **self.common_settings(seeds), "node_id": f"c{i}", "host": host, "listen_host": listen_host,
            "api": f"{listen_host}:{self.api_port}", "data_dir": str(self.folder / f"data{i}"),
            "first_start": first_start, "log_file": "-", "tolerated_losses": self.tolerated_losses,
            "memory_mb": MEMORY_MB["control"], **link_settings})

    async def call(self, host, method, target, body="", limit_s=2.0, port=None, extra_headers=""):
        """Returns (status, body); status 0 without a complete response. Follows redirects."""
        try:
            return await asyncio.wait_for(self.call_once(host, method, target, body, port, extra_headers), limit_s)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            return 0, ""

    async def call_once(self, host, method, target, body, port, extra_headers, redirects=0):
        reader, writer = await asyncio.open_connection(host, port or self.api_port)
        try:
            writer.write((f"{method} {target} HTTP/1.1\r\nHost: h\r\n{extra_headers}Connection: close\r\n"
                          f"Content-Length: {len(body)}\r\n\r\n{body}").encode())
            line, headers, text = await read_message(reader)
            status = int(line.split(" ")[1])
            if status == 307 and redirects < MAX_REDIRECTS:
                next_host = headers["location"].split("/")[2].rsplit(":", 1)[0]
                return await self.call_once(next_host, method, target, body, port, extra_headers, redirects + 1)
            return status, text.decode()
        finally:
            writer.close()

    # Checks that confirmed configurations are in force on undisturbed gateways.
    async def watch_versions(self):
        while not self.stopping:
            await asyncio.sleep(0.3)
            gateway = self.random.choice(self.gateways)
            confirmed_version = self.operator.newest_confirmed(time.monotonic() - MAX_APPLY_S)
            control_undisturbed = all(it.is_undisturbed() for it in self.control)
            if confirmed_version == 0 or not gateway.is_undisturbed() or not control_undisturbed:
                continue
            pid = gateway.child.pid
            extra_headers = f"Marigoldstep-Request-Id: {self.callers.new_request()}\r\nAuthorization: Bearer {KEY}\r\n"
            status, _ = await self.call(gateway.host, "GET", f"/v{confirmed_version}/x", port=self.front_port,
                                        extra_headers=extra_headers)
            if status == 404 and gateway.is_undisturbed() and gateway.child.pid == pid:
                self.report_problem(f"{gateway.name} does not apply version {confirmed_version}")
            await self.operator.read(self.random.choice(self.control_hosts))

    # Faults overlap and start at random intervals.
    async def inject_faults(self):
        until = time.monotonic() + self.seconds
        self.cut_rate, self.repeat_rate, self.status_rate = CUT_RATE, REPEAT_RATE, STATUS_RATE
        server_faults = asyncio.create_task(self.inject_until(until, SERVER_FAULT_RATE, [
            self.inject_server_faults, self.inject_server_faults, self.inject_server_link_fault,
            self.inject_server_link_fault, self.crash_server, self.drain_server, self.announce_leaving,
            self.ask_for_silence, self.silence_service, self.release_servers, self.release_servers,
            self.operator.evacuate_zone]))
        while time.monotonic() < until:
            burst_end = min(until, time.monotonic() + self.random.uniform(*BURST_S))
            await self.inject_until(burst_end, PROCESS_FAULT_RATE, [
                self.kill_gateway, self.stop_gateway, self.pause_gateway, self.pause_control, self.kill_control,
                self.stop_control, self.erase_control_data, self.replace_control, self.kill_all_control,
                self.kill_all_processes, self.fill_disk,
                self.append_torn_record, self.inject_control_link_faults, self.cut_off_control,
                self.cut_off_all_control, self.silence_control, self.silence_all_control, self.silence_gateways,
                self.inject_series])
            await self.inject_series()
            if self.random.random() < KILL_ALL_SHARE:
                await self.kill_all_processes()
            if time.monotonic() < until:
                await self.wait_for_calm()
                await self.operator.read_in_calm("between the faults")
        await server_faults
        self.cut_rate = self.repeat_rate = self.status_rate = 0.0

    async def inject_until(self, until, rate, faults):
        """Injects so many faults a second, and returns when all have ended."""
        tasks = []
        while time.monotonic() < until:
            self.counts["faults"] += 1
            tasks.append(asyncio.create_task(self.random.choice(faults)()))
            await asyncio.sleep(self.random.expovariate(rate))
        await asyncio.gather(*tasks)

    async def wait_for_calm(self):
        """Waits until the control processes have been undisturbed for some seconds. No fault may be under way."""
        last_disturbed = max(it.last_disturbed for it in self.control)
        await asyncio.sleep(max(0.0, last_disturbed + UNDISTURBED_S - time.monotonic()))

    async def restart(self, process):
        await process.wait_for_exit(5)
        await asyncio.sleep(self.random.uniform(0.05, 1.0))
        process.start()

    async def kill_gateway(self):
        process = self.random.choice(self.gateways)
        async with process.lock:
            process.signal(signal.SIGKILL)
            await self.restart(process)

    async def pause_gateway(self):
        await self.pause(self.random.choice(self.gateways))

    async def pause(self, process):
        child = process.child
        process.signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.2, 3.0))
        if process.child is child:
            process.signal(signal.SIGCONT)

    async def stop_gateway(self):
        process = self.random.choice(self.gateways)
        async with process.lock:
            await self.stop(process)
            process.start()

    async def stop(self, process):
        just_started = time.monotonic() - process.started_at < MIN_SIGNAL_AGE_S
        process.signal(signal.SIGTERM)
        # The process may also be paused meanwhile.
        if not await process.wait_for_exit(STOP_TIME_S + 6):
            self.report_problem(f"{process.name} did not exit after SIGTERM")
            process.signal(signal.SIGKILL)
            await process.wait_for_exit(5)
        allowed = [0, -signal.SIGKILL] + [-signal.SIGTERM] * just_started
        if process.child.returncode not in allowed:
            self.report_problem(f"{process.name} exited with status {process.child.returncode} after SIGTERM")

    async def settle_and_check(self):
        """Checks that after the faults requests are served and no confirmed version is lost."""
        served_at = time.monotonic() + SERVED_AFTER_S
        await self.wait_for_calm()
        await self.operator.read_in_calm("after the faults")
        await asyncio.sleep(max(0.0, served_at - time.monotonic()))
        self.stopping = True
        await asyncio.sleep(3)
        served = [await self.callers.send_request(self.random.choice(self.gateways)) for _ in range(40)]
        if served.count(200) < 36:
            self.report_problem(f"after the faults only {served.count(200)} of 40 requests were served: {served}")
        for name, answers in (await self.operator.read_in_calm("at the end")).items():
            self.report_problem(f"{name} never returned version {self.operator.version} at the end: {answers}")
        for it in self.control + self.gateways:
            if it.child.poll() is not None:
                self.report_problem(f"{it.name} exited unexpectedly with status {it.child.returncode}")
        self.callers.check_runs()
        self.versions.check_lost()

    def record_exception(self, _loop, context):
        """Tasks are cancelled at the end; any other exception is an error of the soak test."""
        problem = context.get("exception")
        if not isinstance(problem, asyncio.CancelledError):
            self.report_problem(f"the soak test itself failed: {context['message']}: {problem!r}")

    async def run(self):
        asyncio.get_running_loop().set_exception_handler(self.record_exception)
        await self.make_processes()
        for it in self.control + self.gateways:
            it.start()
        await self.start_servers()
        try:
            await self.run_load()
        finally:
            # asyncio.wait_for() can swallow a cancellation, so loops need another reason to end.
            self.stopping = True
            for it in self.started_servers:
                await it.crash()

    async def run_load(self):
        operator = asyncio.create_task(self.operator.run())
        until = time.monotonic() + 10
        while time.monotonic() < until and (self.operator.version == 0
                                            or await self.callers.send_request(self.gateways[0]) != 200):
            await asyncio.sleep(0.2)
        tasks = [asyncio.create_task(self.callers.run()) for _ in range(8)]
        tasks += [operator, asyncio.create_task(self.watch_versions()), asyncio.create_task(self.crowds.run())]
        await self.inject_faults()
        await self.settle_and_check()
        for it in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(it, Exception):
                self.report_problem(f"the soak test itself failed: {it!r}")

    def write_records(self):
        lines = [f"{it.request} {it}\n" for runs in self.runs.values() for it in runs]
        (self.folder / "runs.txt").write_text("".join(lines))
        (self.folder / "events.txt").write_text("".join(self.events))

    def close(self):
        for it in self.control + self.gateways:
            if it.child and it.child.poll() is None:
                it.child.kill()
                it.child.wait()


def run_soak(seed, seconds, bin_folder, keep=None, control_count=None, gateway_count=None):
    fleet = Fleet(seed, seconds, bin_folder, control_count, gateway_count)
    try:
        asyncio.run(fleet.run())
    finally:
        fleet.close()
        if keep and fleet.problems:
            fleet.write_records()
            shutil.copytree(fleet.folder, pathlib.Path(keep) / f"seed-{seed}", dirs_exist_ok=True)
        shutil.rmtree(fleet.folder, ignore_errors=True)
    return fleet.problems, " ".join(f"{key}={value}" for key, value in fleet.counts.items())
