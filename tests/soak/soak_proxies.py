"""Loopback proxies of the soak test and the network faults that they inject."""
import asyncio
import re
import time

from soak_streams import reset_connection

DIRECTIONS = ("up", "down")
POLL_INTERVAL_S = 0.05
# Processes name their own address in the first message of a connection to control.
ADDRESS = re.compile(rb"127\.\d+\.\d+\.\d+")


class Connection:
    """A forwarded connection. Each direction can hold its bytes for a while or lose them for good."""

    def __init__(self, proxy, client, target):
        self.proxy = proxy
        self.streams = {"up": (client[0], target[1]), "down": (target[0], client[1])}
        self.origin = None  # host of the process that opened it
        self.lost = set()  # directions
        self.held_until = dict.fromkeys(DIRECTIONS, 0.0)

    def has_end_at(self, hosts):
        return self.proxy.host in hosts or self.origin in hosts

    async def run(self):
        await asyncio.gather(*[self.forward(it) for it in DIRECTIONS])

    async def forward(self, direction):
        """A lost direction doesn't pass on the end of the connection either."""
        reader, writer = self.streams[direction]
        is_reset = False
        try:
            while data := await reader.read(65536):
                if direction == "up" and not self.origin:
                    self.origin = (ADDRESS.findall(data) or [b""])[0].decode()
                await self.wait_for_network(direction)
                if direction not in self.lost:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            is_reset = True
        await self.wait_for_network(direction)
        if direction in self.lost:
            return
        if is_reset:
            reset_connection(writer)
        writer.close()

    async def wait_for_network(self, direction):
        if self.proxy.delay_s:
            await asyncio.sleep(self.proxy.delay_s)
        while self.is_held(direction):
            await asyncio.sleep(POLL_INTERVAL_S)

    def is_held(self, direction):
        return (self.proxy.mode in ("silent", "one_way_" + direction) or self.has_end_at(self.proxy.cut_hosts)
                or time.monotonic() < self.held_until[direction])

    def reset(self):
        for _, writer in self.streams.values():
            reset_connection(writer)


class Proxy:
    """Forwards TCP connections to a port, resets included, and injects network faults."""

    def __init__(self, port, target="127.0.0.1", cut_hosts=frozenset()):
        self.target, self.port = target, port
        self.cut_hosts = cut_hosts  # connections that begin or end there hold their bytes
        self.host = None
        self.mode = "pass"
        self.delay_s = 0.0
        self.connections = set()
        self.last_fault_at = 0.0

    async def start(self, host, port=0):
        self.host = host
        self.server = await asyncio.start_server(self.accept, host, port)
        return self.server.sockets[0].getsockname()[1]

    async def accept(self, reader, writer):
        while self.host in self.cut_hosts:
            await asyncio.sleep(POLL_INTERVAL_S)
        try:
            target = await asyncio.open_connection(self.target, self.port)
        except OSError:
            reset_connection(writer)
            return
        connection = Connection(self, (reader, writer), target)
        self.connections.add(connection)
        await connection.run()
        # The ends of a silent connection aren't told that the other one is closed.
        if not connection.lost:
            self.connections.discard(connection)

    def reset(self):
        self.last_fault_at = time.monotonic()
        for it in self.connections:
            it.reset()

    async def inject_fault(self, rng):
        """Resets all connections, or stalls them in one or both directions or delays them for a while."""
        kind = rng.choice(["reset", "silent", "one_way_up", "one_way_down", "delay"])
        # In the future while the fault lasts.
        self.last_fault_at = float("inf")
        await self.run_fault(kind, rng)
        self.last_fault_at = time.monotonic()

    async def run_fault(self, kind, rng):
        if kind == "reset":
            self.reset()
        elif kind == "delay":
            self.delay_s = 0.05
            await asyncio.sleep(2)
            self.delay_s = 0.0
        else:
            self.mode = kind
            await asyncio.sleep(rng.uniform(0.3, 2.5))
            self.mode = "pass"


class Network:
    """The proxies in front of the control processes. The first ports of a host serve the
    fleet's own connections, the last one callers."""

    def __init__(self, random):
        self.random = random
        self.proxies = {}  # by host
        self.cut_hosts, self.cut_for_callers = set(), set()

    async def add_host(self, host, target, ports):
        cuts = [self.cut_hosts] * (len(ports) - 1) + [self.cut_for_callers]
        self.proxies[host] = [Proxy(port, target, cut) for port, cut in zip(ports, cuts, strict=True)]
        for it in self.proxies[host]:
            await it.start(host, it.port)

    def remove_host(self, host):
        for it in self.proxies[host]:
            it.server.close()

    def find_connections(self, hosts):
        return [it for proxies in self.proxies.values() for proxy in proxies for it in proxy.connections
                if it.has_end_at(hosts)]

    def silence(self, hosts):
        """Open connections of the hosts lose all bytes for good, in one direction or both. Returns how many."""
        directions = self.random.choice([{"up"}, {"down"}, set(DIRECTIONS)])
        connections = self.find_connections(hosts)
        for it in connections:
            it.lost |= directions
        return len(connections)

    async def cut(self, hosts, duration_s):
        """Connections of the hosts, new ones included, carry nothing for so long. Those opened until then
        stay silent for up to as long again, as the kernel's delay before it resends doubles each time."""
        cuts = [self.cut_hosts] + [self.cut_for_callers] * self.random.randint(0, 1)
        for it in cuts:
            it.update(hosts)
        await asyncio.sleep(duration_s)
        for it in self.find_connections(hosts):
            for direction in DIRECTIONS:
                it.held_until[direction] = time.monotonic() + self.random.uniform(0, duration_s)
        for it in cuts:
            it.difference_update(hosts)
