"""The operator of the soak test: stores rising configurations and reads them back."""
import asyncio
import collections
import json
import time

from soak_callers import KEY
from soak_evacuations import Evacuations
from soak_server_faults import ZONES
from soak_servers import COLD_PER_S, COLD_S

# Required by the users: a confirmed configuration is in force within this time on
# undisturbed gateways, and later reads never return an older one.
MAX_APPLY_S = 2.0
# Once the fleet is calm, some process returns the newest configuration within this time.
STABLE_WINDOW_S = 3.0
READ_LIMIT_S = 1.0
READ_INTERVAL_S = 0.05
MAX_EVACUATION_S = 10.0


class Operator:
    def __init__(self, fleet):
        self.fleet = fleet
        self.confirmed = []  # (time, version)
        self.version = 0
        self.confirmation = asyncio.Event()
        self.evacuations = Evacuations(fleet)

    def configuration(self, version):
        """Each version has one more route."""
        def route(prefix, kind, service, attempts=2):
            return {"name": prefix, "host": "h", "path_prefix": f"/{prefix}/", "type": kind,
                    "timeout_ms": 2000, "service": service, "max_attempts": attempts,
                    "can_resume": prefix == "resume"}
        routes = [route("safe", "safe", "web"), route("once", "unsafe", "web"),
                  route("stream", "streaming", "engine", 1), route("resume", "streaming", "engine")]
        routes += [route(f"v{i}", "safe", "web") for i in range(1, version + 1)]
        return json.dumps({"version": version, "routes": routes,
                           "services": [{"name": it, "warmup_s": COLD_S, "warmup_per_s": COLD_PER_S}
                                        for it in ("web", "engine")],
                           "tenants": [{"name": "w", "api_keys": [KEY]}]})

    async def run(self):
        while not self.fleet.stopping:
            await self.store(self.version + 1)
            await asyncio.sleep(self.fleet.random.uniform(0.2, 1.0))

    async def evacuate_zone(self):
        zone = self.fleet.random.choice(ZONES)
        await self.evacuations.evacuate(zone, self.fleet.random.uniform(0.5, MAX_EVACUATION_S))

    async def store(self, version):
        hosts = self.fleet.control_hosts
        for host in self.fleet.random.sample(hosts, len(hosts)):
            status, _ = await self.fleet.call(host, "POST", "/v1/Config.Replace", self.configuration(version))
            if status == 200:
                self.confirmed.append((time.monotonic(), version))
                self.version = version
                self.fleet.record_event(f"{host} confirmed version {version}")
                self.confirmation.set()
                self.fleet.counts["versions"] += 1
                return
            if status == 400:
                self.fleet.report_problem(f"valid version {version} refused")

    async def wait_for_confirmation(self, limit_s):
        self.confirmation.clear()
        try:
            await asyncio.wait_for(self.confirmation.wait(), limit_s)
        except asyncio.TimeoutError:
            pass

    def newest_confirmed(self, before):
        return max((v for at, v in self.confirmed if at <= before), default=0)

    async def read(self, host, max_age_s=MAX_APPLY_S):
        """Returns (status, version); version 0 without a success. Checks that the version isn't older than
        the newest one that was confirmed so long before."""
        required = self.newest_confirmed(time.monotonic() - max_age_s)
        status, text = await self.fleet.call(host, "GET", "/v1/Config.Read", limit_s=READ_LIMIT_S)
        version = json.loads(text)["version"] if status == 200 else 0
        if status == 200 and version < required:
            self.fleet.report_problem(f"read of {host} returned version {version}, {required} was confirmed")
        return status, version

    async def read_in_calm(self, moment):
        """Reads at each process in turn for the stable window. Returns the processes that never returned
        the newest confirmed version, with their answers, and reports a problem if none did."""
        answers = {it.name: collections.Counter() for it in self.fleet.control}
        is_read = dict.fromkeys(answers, False)
        until = time.monotonic() + STABLE_WINDOW_S
        while time.monotonic() < until:
            for it in self.fleet.control:
                required = self.newest_confirmed(time.monotonic())
                status, version = await self.read(it.host, max_age_s=0)
                is_read[it.name] |= status == 200 and version >= required
                answers[it.name][f"version {version}" if status == 200 else f"status {status}"] += 1
                await asyncio.sleep(READ_INTERVAL_S)
        self.fleet.counts["calm_reads"] += 1
        texts = {name: ", ".join(f"{count} x {answer}" for answer, count in it.items())
                 for name, it in answers.items()}
        if not any(is_read.values()):
            self.fleet.report_problem(f"{moment} no control process returned version {self.version} in "
                                      f"{STABLE_WINDOW_S} s: {texts}")
        unread = {name: text for name, text in texts.items() if not is_read[name]}
        self.fleet.counts["unread"] += len(unread)
        self.fleet.record_event(f"{moment}, unread: {unread}")
        return unread
