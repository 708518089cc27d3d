"""Faults and planned work on the backend servers of the soak test."""
import asyncio
import time

from soak_servers import COLD_S, Server

SERVERS = 9
ZONES = ["z", "y"]  # each with servers of both services; gateways are in the first


class ServerFaults:
    """The part of the fleet that starts and disturbs its backend servers."""

    async def inject_server_faults(self):
        server = self.random.choice(self.servers)
        server.fault_rate = 0.4
        await asyncio.sleep(self.random.uniform(0.5, 3.0))
        server.fault_rate = 0.0

    async def inject_server_link_fault(self):
        await self.random.choice(self.servers).proxy.inject_fault(self.random)

    async def crash_server(self):
        index = self.random.randrange(SERVERS)
        old = self.servers[index]
        await old.crash()
        await asyncio.sleep(self.random.uniform(0.1, 1.0))
        if self.servers[index] is old:
            self.servers[index] = await self.new_server(index, old.version, is_cold=True)

    async def drain_server(self):
        index = self.random.randrange(SERVERS)
        old = self.servers[index]
        old.state = "draining"
        await old.report()
        await asyncio.sleep(3)
        await old.crash()
        if self.servers[index] is old:
            self.servers[index] = await self.new_server(index, old.version)

    async def release_servers(self):
        """Replaces servers of one version by servers of another one, each of which starts first."""
        old = self.random.choice(self.servers).version
        new = self.random.choice([it for it in self.versions.names if it != old] or [old])
        indices = [i for i, it in enumerate(self.servers) if it.version == old]
        self.counts["releases"] += 1
        ends = []
        for i in indices[:self.random.randint(1, len(indices))]:
            replaced = self.servers[i]
            self.servers[i] = await self.new_server(i, new, is_cold=self.random.random() < 0.5)
            ends.append(asyncio.create_task(self.end_server(replaced)))
            await asyncio.sleep(self.random.uniform(0.0, 0.5))
        await asyncio.gather(*ends)

    async def end_server(self, server):
        if self.random.random() < 0.7:
            server.state = "draining"
            await server.report()
            await asyncio.sleep(self.random.uniform(0.5, 2.0))
        await server.deregister()
        await asyncio.sleep(self.random.uniform(self.drain_s, 2.0))
        self.departures.end_later(server)

    async def announce_leaving(self):
        """A server says in its responses that it leaves, before or without reporting it."""
        index = self.random.randrange(SERVERS)
        old = self.servers[index]
        old.leaving = True
        await asyncio.sleep(self.random.uniform(0.5, 2.5))
        if self.random.random() < 0.5:
            old.state = "draining"
            await old.report()
        await asyncio.sleep(self.random.uniform(0.5, 1.5))
        await old.crash()
        if self.servers[index] is old:
            self.servers[index] = await self.new_server(index, old.version)

    async def ask_for_silence(self, servers=None):
        """Servers refuse all requests for a while and ask for none meanwhile."""
        servers = servers or [self.random.choice(self.servers)]
        backoff_s = self.random.uniform(0.6, 2.0)
        self.counts["backoffs"] += len(servers)
        for it in servers:
            it.backoff_s = backoff_s
        await asyncio.sleep(self.random.uniform(0.2, 2.0))
        for it in servers:
            it.backoff_s = 0.0

    async def silence_service(self):
        await self.ask_for_silence([it for it in self.servers if it.service == "web"])

    async def start_servers(self):
        self.servers = [await self.new_server(i) for i in range(SERVERS)]

    async def new_server(self, index, version=None, is_cold=False):
        n = self.callers.next_number()
        version = version or self.versions.names[index // 3 % len(self.versions.names)]
        service = "web" if index % 3 == 0 else "engine"
        zone = ZONES[index // 3 % len(ZONES)]
        server = Server(self, f"i-{index}-{n}", service, version, zone, self.seed * 1000 + n)
        if is_cold:
            self.counts["cold_starts"] += 1
            server.cold_until = time.monotonic() + COLD_S
        await server.start()
        self.started_servers.append(server)
        return server
