"""Reports that the network delays beyond a server's departure, which the fleet confirmed."""
import asyncio
import random
import time

from soak_processes import UNDISTURBED_S

DELAYED_RATE = 0.2  # of the reports of ready servers
MAX_DELAY_S = 6.0
MAX_STAY_S = 8.0  # how long a server serves on after its deregistration


class Departures:
    """Delays copies of reports, and checks that no server gets requests after its confirmed departure."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.random = random.Random(fleet.seed)  # of its own, so that other faults stay the same
        self.confirmed_at = {}  # by name of the server
        self.tasks = set()

    def start(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def is_calm(self, processes, since):
        return all(it.last_disturbed < since - UNDISTURBED_S for it in processes)

    def record_confirmation(self, server):
        now = time.monotonic()
        if self.is_calm(self.fleet.control, now):
            self.confirmed_at.setdefault(server.name, now)
            self.fleet.counts["departed"] += 1

    def delay_copy(self, name, body):
        if self.random.random() < DELAYED_RATE:
            self.start(self.send_later(name, body, self.random.uniform(0.0, MAX_DELAY_S)))

    async def send_later(self, name, body, delay_s):
        await asyncio.sleep(delay_s)
        host = self.random.choice(self.fleet.control_hosts)
        status, _ = await self.fleet.call(host, "POST", f"/v1/Replicas.Heartbeat/{name}", body, limit_s=1)
        self.fleet.counts["delayed"] += status == 200

    def end_later(self, server):
        self.start(self.crash_later(server, self.random.uniform(0.0, MAX_STAY_S)))

    async def crash_later(self, server, stay_s):
        await asyncio.sleep(stay_s)
        await server.crash()

    def check(self, server, call):
        """Checks that a request that arrives at the server was sent before its departure was confirmed."""
        confirmed_at = self.confirmed_at.get(server.name)
        if confirmed_at is None or call.sent_at < confirmed_at + self.fleet.drain_s:
            return
        if self.is_calm([call.gateway, *self.fleet.control], call.sent_at):
            self.fleet.report_problem(f"{call.gateway.name} sent {call.request} to {server.name} "
                                      f"{call.sent_at - confirmed_at:.1f} s after its departure was confirmed")
