"""One seeded run of the soak: starts the fleet, plays load and faults, checks."""
import asyncio
import json
import os
import pathlib
import random
import resource
import shutil
import signal
import socket
import subprocess
import tempfile
import time

from soak_servers import Proxy, Server, new_run_counts, read_message

CONTROL, GATEWAYS, SERVERS = 3, 3, 6
KEY = "soak-key"
# The users' bounds: a confirmed configuration is in force within this time on
# gateways that weren't disturbed, and reads never return an older one.
APPLY_S = 2.0
CALM_S = 3.0
STOP_TIME_S = 4
LINKS_PORT = 2  # offset from the first port
# A message of 300 bytes to three gateways is passed on, and reports of four servers fill
# their part of the link.
THIN_LINK_MBPS = 0.2


class Process:
    """A daemon with its settings file; restarted by the soak only."""

    def __init__(self, fleet, kind, host, settings):
        self.fleet, self.kind, self.host, self.settings = fleet, kind, host, settings
        self.name = f"{kind}-{host}"
        self.disturbed_at = time.monotonic()
        self.child = None
        self.lock = asyncio.Lock()  # held from the end of one child to the start of the next

    def start(self):
        path = self.fleet.folder / f"{self.name}.yaml"
        path.write_text("\n".join(f"{key}: {json.dumps(value)}" for key, value in self.settings.items()))
        log = open(self.fleet.folder / f"{self.name}.log", "ab")
        self.child = subprocess.Popen([f"{self.fleet.bin}/mstep-{self.kind}", "--config", str(path)],
                                      stdout=log, stderr=subprocess.STDOUT,
                                      # A write beyond a file size limit fails in place of killing.
                                      restore_signals=False)
        log.close()
        self.started_at = self.disturbed_at = time.monotonic()

    def signal(self, number):
        self.disturbed_at = time.monotonic()
        if self.child.poll() is None:
            self.child.send_signal(number)

    async def ended(self, limit_s):
        until = time.monotonic() + limit_s
        while self.child.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.05)
        return self.child.poll() is not None

    def is_calm(self):
        return self.child.poll() is None and time.monotonic() - self.disturbed_at > CALM_S


class Fleet:
    def __init__(self, seed, seconds, bin_folder):
        self.seed, self.seconds, self.bin = seed, seconds, bin_folder
        self.random = random.Random(seed)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="mstep-soak-"))
        self.runs = new_run_counts()
        self.refused = set()
        self.most_runs = {}  # by request id
        self.problems = []
        self.counts = {"asked": 0, "answered": 0, "refused": 0, "failed": 0, "faults": 0, "versions": 0,
                       "handed_over": 0}
        self.acked = []  # (time, version)
        self.version = 0
        self.stopping = False
        self.next_id = 0
        self.busy_control = set()

    def events_of(self, request):
        return 3 + sum(request.encode()) % 8

    def broken(self, text):
        self.problems.append(text)

    def free_ports(self, n):
        # The same range is taken on several loopback addresses.
        base = 20000 + (os.getpid() * 64 + self.seed * 16) % 30000
        while True:
            try:
                for port in range(base, base + n):
                    with socket.socket() as it:
                        it.bind(("127.0.0.1", port))
                return base
            except OSError:
                base += n

    def make_processes(self):
        ports = self.free_ports(12)
        self.control_hosts = [f"127.77.0.{i + 1}" for i in range(CONTROL)]
        self.api_port, front = ports + 8, ports + 9
        seeds = [f"{host}:{self.api_port}" for host in self.control_hosts]
        common = {"ports": [str(ports), str(ports + 7)], "seeds": seeds}
        # On every other seed the links of control are thin: routers pass changes on and
        # take reports of servers.
        thin = {"link_mbps": THIN_LINK_MBPS} if self.seed % 2 else {}
        self.control = [Process(self, "control", host, {
            **common, "node_id": f"c{i}", "host": host, "listen_host": f"127.79.0.{i + 1}",
            "api": f"127.79.0.{i + 1}:{self.api_port}",
            "data_dir": str(self.folder / f"data{i}"), "first_start": True, "log_file": "-",
            "tolerated_losses": 1, "report_interval_ms": 500, **thin}) for i, host in enumerate(self.control_hosts)]
        self.gateways = [Process(self, "gateway", f"127.78.0.{i + 1}", {
            **common, "node_id": f"g{i}", "zone": "z", "host": f"127.78.0.{i + 1}",
            "listen": f"127.78.0.{i + 1}:{front}", "listen_ready": f"127.78.0.{i + 1}:{front + 1}",
            "stop_time_s": STOP_TIME_S, "report_interval_ms": 500,
            "retry_budget": {"ratio": 0.2, "extra": 60, "window_s": 10}}) for i in range(GATEWAYS)]
        self.front = front

    async def start_proxies(self):
        """Everything that leads to a control process goes through proxies."""
        first = int(self.control[0].settings["ports"][0])
        self.proxies = []
        for i, host in enumerate(self.control_hosts):
            ports = [first, first + LINKS_PORT, self.api_port]  # members, links, calls
            self.proxies.append([Proxy(port, f"127.79.0.{i + 1}") for port in ports])
            for it in self.proxies[-1]:
                await it.start(host, it.port)

    async def call(self, host, method, target, body="", limit_s=2.0, port=None, more=""):
        """Returns (status, body); status 0 without a whole answer. Follows one redirect."""
        try:
            return await asyncio.wait_for(self.call_once(host, method, target, body, port, more), limit_s)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            return 0, ""

    async def call_once(self, host, method, target, body, port, more):
        reader, writer = await asyncio.open_connection(host, port or self.api_port)
        try:
            writer.write((f"{method} {target} HTTP/1.1\r\nHost: h\r\n{more}Connection: close\r\n"
                          f"Content-Length: {len(body)}\r\n\r\n{body}").encode())
            line, headers, text = await read_message(reader)
            status = int(line.split(" ")[1])
            if status == 307:
                leader = headers["location"].split("/")[2].rsplit(":", 1)[0]
                return await self.call_once(leader, method, target, body, port, more)
            return status, text.decode()
        finally:
            writer.close()

    # The operator: rising versions, each with one more route.
    def configuration(self, version):
        def route(prefix, kind, service, attempts=2):
            return {"name": prefix, "host": "h", "path_prefix": f"/{prefix}/", "type": kind,
                    "timeout_ms": 2000, "service": service, "max_attempts": attempts}
        routes = [route("safe", "safe", "web"), route("once", "unsafe", "web"),
                  route("stream", "streaming", "engine", 1)]
        routes += [route(f"v{i}", "safe", "web") for i in range(1, version + 1)]
        return json.dumps({"version": version, "routes": routes,
                           "services": [{"name": "web"}, {"name": "engine"}],
                           "tenants": [{"name": "w", "api_keys": [KEY]}]})

    async def operate(self):
        while not self.stopping:
            version = self.version + 1
            for host in self.random.sample(self.control_hosts, CONTROL):
                status, _ = await self.call(host, "POST", "/v1/Config.Replace", self.configuration(version))
                if status == 200:
                    self.acked.append((time.monotonic(), version))
                    self.version = version
                    self.counts["versions"] += 1
                    break
                if status == 400:
                    self.broken(f"valid version {version} refused")
            await asyncio.sleep(self.random.uniform(0.2, 1.0))

    def newest_acked(self, before):
        return max((v for at, v in self.acked if at <= before), default=0)

    async def read_back(self, required=False):
        asked = time.monotonic()
        host = self.random.choice(self.control_hosts)
        status, text = await self.call(host, "GET", "/v1/Config.Read")
        if status == 200:
            seen, wanted = json.loads(text)["version"], self.newest_acked(asked - APPLY_S)
            if seen < wanted:
                self.broken(f"read of {host} returned version {seen}, {wanted} was confirmed")
            return seen
        return None if not required else -1

    # Callers.
    def new_request(self):
        self.next_id += 1
        return f"{self.seed}-{self.next_id}"

    async def caller(self):
        while not self.stopping:
            await self.ask(self.random.choice(self.gateways).host)
            await asyncio.sleep(self.random.uniform(0.0, 0.05))

    async def ask(self, host):
        kind = self.random.choice(["safe", "once", "once", "stream"])
        request = self.new_request()
        self.counts["asked"] += 1
        self.most_runs[request] = 2 if kind == "safe" else 1
        try:
            return await asyncio.wait_for(self.ask_once(host, kind, request), 4)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            self.counts["failed"] += 1
            return 0

    async def ask_once(self, host, kind, request):
        reader, writer = await asyncio.open_connection(host, self.front)
        try:
            writer.write((f"POST /{kind}/x HTTP/1.1\r\nHost: h\r\nMarigoldstep-Request-Id: {request}\r\n"
                          f"Marigoldstep-Deadline-Ms: 2000\r\nAuthorization: Bearer {KEY}\r\n"
                          "Content-Length: 4\r\n\r\nbody").encode())
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
            status = int(head.split(" ")[1])
            if status == 200 and "chunked" in head:
                await self.read_stream(reader, request)
            else:
                size = int(head.lower().split("content-length: ")[1].split("\r\n")[0])
                text = (await reader.readexactly(size)).decode("latin1")
                if status == 200 and text != f"answer to {request}":
                    self.broken(f"{request} got another answer: {text[:60]!r}")
            self.note_status(kind, request, status)
            return status
        finally:
            writer.close()

    async def chunk_size(self, reader):
        line = await reader.readline()
        if not line.endswith(b"\r\n"):
            raise asyncio.IncompleteReadError(line, None)
        return int(line, 16)

    async def read_stream(self, reader, request):
        text = ""
        while size := await self.chunk_size(reader):
            text += (await reader.readexactly(size)).decode()
            await reader.readexactly(2)
        n = self.events_of(request)
        expected = "".join(f"id: {i}\ndata: {request} {i}\n\n" for i in range(1, n + 1))
        if text != expected:
            self.broken(f"stream {request} ended as complete with {len(text)} of {len(expected)} bytes")

    def note_status(self, kind, request, status):
        if status == 200:
            self.counts["answered"] += 1
        elif status in (408, 421, 429, 503):
            self.counts["refused"] += 1
            if kind != "safe":
                self.refused.add(request)
        else:
            self.counts["failed"] += 1
            if status in (401, 404):
                self.broken(f"{request} on a route that always existed got {status}")

    # Configurations in force on gateways that nothing disturbed.
    async def watch_versions(self):
        while not self.stopping:
            await asyncio.sleep(0.3)
            gateway = self.random.choice(self.gateways)
            wanted = self.newest_acked(time.monotonic() - APPLY_S)
            control_calm = all(it.is_calm() for it in self.control)
            if wanted == 0 or not gateway.is_calm() or not control_calm:
                continue
            began = gateway.child.pid
            more = f"Marigoldstep-Request-Id: {self.new_request()}\r\nAuthorization: Bearer {KEY}\r\n"
            status, _ = await self.call(gateway.host, "GET", f"/v{wanted}/x", port=self.front, more=more)
            if status == 404 and gateway.is_calm() and gateway.child.pid == began:
                self.broken(f"{gateway.name} doesn't know version {wanted}")
            await self.read_back()

    # Faults, in series that overlap.
    async def inject(self):
        faults = [self.kill, self.pause, self.stop_gateway, self.kill_control, self.wipe_control,
                  self.kill_all_control, self.fill_disk, self.tear_log, self.harm_server, self.harm_server, self.harm_server_link,
                  self.harm_server_link, self.harm_control_links, self.harm_control_links, self.crash_server, self.drain_server]
        tasks = []
        until = time.monotonic() + self.seconds
        while time.monotonic() < until:
            fault = self.random.choice(faults)
            self.counts["faults"] += 1
            tasks.append(asyncio.create_task(fault()))
            await asyncio.sleep(self.random.expovariate(2.0))
        await asyncio.gather(*tasks)

    async def restart(self, process):
        await process.ended(5)
        await asyncio.sleep(self.random.uniform(0.05, 1.0))
        process.start()

    async def kill(self):
        process = self.random.choice(self.gateways)
        async with process.lock:
            process.signal(signal.SIGKILL)
            await self.restart(process)

    async def pause(self):
        process = self.random.choice(self.gateways + self.control)
        if process.kind == "control" and not self.take_control(process):
            return
        child = process.child
        process.signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.2, 3.0))
        if process.child is child:
            process.signal(signal.SIGCONT)
        if process.kind == "control":
            await self.give_control(process)

    async def stop_gateway(self):
        process = self.random.choice(self.gateways)
        async with process.lock:
            # A trace of seed 1 showed a stop before main(), where nothing can wait for it.
            just_started = time.monotonic() - process.started_at < 0.2
            process.signal(signal.SIGTERM)
            # A pause may come on top.
            if not await process.ended(STOP_TIME_S + 6):
                self.broken(f"{process.name} did not end after SIGTERM")
                process.signal(signal.SIGKILL)
                await process.ended(5)
            allowed = [0, -signal.SIGKILL] + [-signal.SIGTERM] * just_started
            if process.child.returncode not in allowed:
                self.broken(f"{process.name} ended with {process.child.returncode}")
            process.start()

    # One control process at a time is harmed in a way that counts as a loss.
    def take_control(self, process):
        if self.busy_control:
            return False
        self.busy_control.add(process.name)
        return True

    async def give_control(self, process):
        await asyncio.sleep(CALM_S)
        self.busy_control.discard(process.name)

    async def kill_control(self):
        process = self.random.choice(self.control)
        if self.take_control(process):
            process.signal(signal.SIGKILL)
            await self.restart(process)
            await self.give_control(process)

    async def wipe_control(self):
        process = self.random.choice(self.control)
        if self.take_control(process):
            process.signal(signal.SIGKILL)
            await process.ended(5)
            shutil.rmtree(process.settings["data_dir"], ignore_errors=True)
            process.settings["first_start"] = False
            process.start()
            await asyncio.sleep(3)
            await self.give_control(process)

    async def kill_all_control(self):
        if self.busy_control:
            return
        self.busy_control.add("all")
        for it in self.control:
            it.signal(signal.SIGKILL)
        for it in self.control:
            await it.ended(5)
            it.start()
        await asyncio.sleep(CALM_S)
        self.busy_control.discard("all")

    async def fill_disk(self):
        """Writes beyond a file's present size fail for some seconds."""
        process = self.random.choice(self.control)
        if not self.take_control(process):
            return
        process.disturbed_at = time.monotonic()
        child = process.child
        limits = (0, resource.RLIM_INFINITY)
        if child.poll() is None:
            resource.prlimit(child.pid, resource.RLIMIT_FSIZE, limits)
            await asyncio.sleep(self.random.uniform(0.5, 3.0))
        if child.poll() is None:
            resource.prlimit(child.pid, resource.RLIMIT_FSIZE,
                             (resource.RLIM_INFINITY, resource.RLIM_INFINITY))
            process.disturbed_at = time.monotonic()
        await self.give_control(process)

    async def tear_log(self):
        """A loss of power leaves a part of a record that was never synced."""
        process = self.random.choice(self.control)
        if not self.take_control(process):
            return
        process.signal(signal.SIGKILL)
        await process.ended(5)
        files = sorted(pathlib.Path(process.settings["data_dir"]).glob("segment-*"))
        if files:
            with open(files[-1], "ab") as log:
                log.write(self.random.randbytes(self.random.randrange(1, 200)))
        process.start()
        await self.give_control(process)

    async def harm_server(self):
        server = self.random.choice(self.servers)
        server.misbehaves = 0.4
        await asyncio.sleep(self.random.uniform(0.5, 3.0))
        server.misbehaves = 0.0

    async def harm_server_link(self):
        await self.random.choice(self.servers).proxy.harm(self.random)

    async def harm_control_links(self):
        """Harms some of what leads to one control process, or all of it."""
        index = self.random.randrange(CONTROL)
        if not self.take_control(self.control[index]):
            return
        proxies = self.proxies[index]
        harmed = self.random.sample(proxies, self.random.randint(1, len(proxies)))
        self.control[index].disturbed_at = time.monotonic()
        await asyncio.gather(*[it.harm(self.random) for it in harmed])
        self.control[index].disturbed_at = time.monotonic()
        await self.give_control(self.control[index])

    async def crash_server(self):
        index = self.random.randrange(SERVERS)
        old = self.servers[index]
        await old.crash()
        await asyncio.sleep(self.random.uniform(0.1, 1.0))
        self.servers[index] = await self.new_server(index)

    async def drain_server(self):
        index = self.random.randrange(SERVERS)
        old = self.servers[index]
        old.state = "draining"
        await old.report()
        await asyncio.sleep(3)
        await old.crash()
        if self.servers[index] is old:
            self.servers[index] = await self.new_server(index)

    async def new_server(self, index):
        self.next_id += 1
        server = Server(self, f"i-{index}-{self.next_id}", "web" if index % 2 == 0 else "engine",
                        self.seed * 1000 + self.next_id)
        await server.start()
        return server

    async def settle_and_check(self):
        """After the faults everything is served again and nothing confirmed is lost."""
        await asyncio.sleep(6)
        self.stopping = True
        await asyncio.sleep(3)
        served = [await self.ask(self.random.choice(self.gateways).host) for _ in range(40)]
        if served.count(200) < 36:
            self.broken(f"after the faults only {served.count(200)} of 40 requests were served: {served}")
        seen = [await self.read_back(required=True) for _ in range(6)]
        wanted = max((v for _, v in self.acked), default=0)
        if max(seen) < wanted:
            self.broken(f"read back version {max(seen)}, {wanted} was confirmed")
        for it in self.control + self.gateways:
            if it.child.poll() is not None:
                self.broken(f"{it.name} ended by itself with {it.child.returncode}")
        for request, n in self.runs.items():
            if request in self.refused:
                self.broken(f"{request} was told not to have run, and ran")
            if n > self.most_runs.get(request, 2):
                self.broken(f"{request} ran {n} times")

    def note_exception(self, _loop, context):
        """Tasks are cancelled at the end; anything else is a fault of the soak."""
        problem = context.get("exception")
        if not isinstance(problem, asyncio.CancelledError):
            self.broken(f"the soak itself failed: {context['message']}: {problem!r}")

    async def play(self):
        asyncio.get_running_loop().set_exception_handler(self.note_exception)
        self.make_processes()
        await self.start_proxies()
        for it in self.control + self.gateways:
            it.start()
        self.servers = [await self.new_server(i) for i in range(SERVERS)]
        operator = asyncio.create_task(self.operate())
        until = time.monotonic() + 10
        while time.monotonic() < until and (self.version == 0 or await self.ask(self.gateways[0].host) != 200):
            await asyncio.sleep(0.2)
        tasks = [asyncio.create_task(self.caller()) for _ in range(8)]
        tasks += [operator, asyncio.create_task(self.watch_versions())]
        await self.inject()
        await self.settle_and_check()
        for it in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(it, Exception):
                self.broken(f"the soak itself failed: {it!r}")

    def close(self):
        for it in self.control + self.gateways:
            if it.child and it.child.poll() is None:
                it.child.kill()
                it.child.wait()


def run_soak(seed, seconds, bin_folder, keep):
    fleet = Fleet(seed, seconds, bin_folder)
    try:
        asyncio.run(fleet.play())
    finally:
        fleet.close()
        if keep and fleet.problems:
            shutil.copytree(fleet.folder, pathlib.Path(keep) / f"seed-{seed}", dirs_exist_ok=True)
        shutil.rmtree(fleet.folder, ignore_errors=True)
    return fleet.problems, " ".join(f"{key}={value}" for key, value in fleet.counts.items())
