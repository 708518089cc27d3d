"""Backend servers of the soak test."""
import asyncio
import json
import random
import re
import time

from soak_proxies import Proxy
from soak_streams import MAX_PAUSE_S, SETTLE_S, Sender, Stream, reset_connection

REPORT_INTERVAL_S = 0.5
SLOTS = 16
COLD_S = 2.0
COLD_PER_S = 8.0  # named in the configuration
# What the users allow beyond that in any second.
COLD_OVERSHOOT, COLD_SLACK = 1.5, 5
# Gateways buffer smaller responses in whole.
BUFFERED_BYTES = 256 << 10
# Short enough that gateways keep most connections open meanwhile.
MAX_IDLE_S = 0.1
# Fraction of second responses that lack the request id.
NAMELESS_RATE = 0.3


async def read_message(reader):
    """Reads an HTTP message with a Content-Length; returns (first line, headers, body)."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ": " in line:
            name, value = line.split(": ", 1)
            headers[name.lower()] = value
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


def make_large_body(run, size):
    text = f"{run.request} run {run.number} "
    return (text * (size // len(text) + 1))[:size].encode()


class Recorder:
    """A connection's writer that keeps what was written since the last request."""

    def __init__(self, writer):
        self.writer, self.sent = writer, b""
        # After a response without a request id, a gateway has to give up the connection.
        self.is_spoiled = False

    def write(self, data):
        self.sent += data
        self.writer.write(data)

    def __getattr__(self, name):
        return getattr(self.writer, name)


class Server:
    """A backend server that counts runs by request id and injects faults into its responses."""

    def __init__(self, fleet, name, service, version, zone, seed):
        self.fleet, self.name, self.service, self.version, self.zone = fleet, name, service, version, zone
        self.random = random.Random(seed)
        self.started = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.fault_rate = 0.0  # fraction of requests with a fault
        self.leaving = False  # says so in every response
        self.backoff_s = 0.0  # refuses every request and asks for none for so long
        self.backoffs = []  # of this server, as dictionaries
        self.cold_until = 0.0
        self.cold_arrivals = []  # within the last second
        self.alive = True
        self.has_deregistered = False
        self.next_report_address = None  # (host, port) named by the last confirmation

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.proxy = Proxy(self.listener.sockets[0].getsockname()[1])
        self.address = "127.0.0.1:%d" % await self.proxy.start("127.0.0.1")
        self.reporter = asyncio.create_task(self.run_reporter())

    async def run_reporter(self):
        while self.alive and not self.has_deregistered:
            await self.report()
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def report(self):
        self.sequence += 1
        body = json.dumps({
            "service": self.service, "address": self.address, "zone": self.zone, "version": self.version,
            "slots": SLOTS, "state": self.state,
            "warmup_left_ms": max(0, round((self.cold_until - time.monotonic()) * 1000)), "seq": self.sequence,
            "born": self.started})
        if self.state == "ready":
            self.fleet.departures.delay_copy(self.name, body)
        hosts = self.random.sample(self.fleet.control_hosts, len(self.fleet.control_hosts))
        addresses = [(host, self.fleet.api_port) for host in hosts]
        if self.next_report_address:
            addresses.insert(0, self.next_report_address)
        for host, port in addresses:
            status, text = await self.fleet.call(
                host, "POST", f"/v1/Replicas.Heartbeat/{self.name}", body, limit_s=1, port=port)
            if status == 200:
                self.record_confirmation(text, (host, port))
                return True
            self.next_report_address = None
        return False

    async def deregister(self):
        self.has_deregistered, self.state = True, "draining"
        self.sequence += 1
        body = json.dumps({"seq": self.sequence, "born": self.started})
        for host in self.random.sample(self.fleet.control_hosts, len(self.fleet.control_hosts)):
            status, _ = await self.fleet.call(host, "POST", f"/v1/Replicas.Deregister/{self.name}", body, limit_s=1)
            if status == 200:
                self.fleet.departures.record_confirmation(self)
                return

    def record_confirmation(self, text, address):
        """Sets the address for the next report; it stays valid until a report to it fails."""
        named = json.loads(text).get("heartbeat_addr")
        if named:
            host, port = named.rsplit(":", 1)
            self.next_report_address = (host, int(port))
            self.fleet.counts["handed_over"] += 1
        elif address != self.next_report_address:
            self.next_report_address = None

    async def serve(self, reader, writer):
        writer = Recorder(writer)
        try:
            while True:
                line, headers, _ = await self.read_request(reader, writer)
                writer.sent = b""
                if not await self.respond(line, headers, writer):
                    return
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    async def read_request(self, reader, writer):
        """Reads the next request. May respond again to the last one: at once, after a
        pause, or where the next response is expected."""
        request = asyncio.ensure_future(read_message(reader))
        if writer.sent and self.random.random() < self.fleet.repeat_rate:
            # Retrieved in case of an error before it is awaited.
            request.add_done_callback(lambda it: it.cancelled() or it.exception())
            limit_s = self.random.choice([0, self.random.uniform(0, MAX_IDLE_S), None])
            await asyncio.wait({request}, timeout=limit_s)
            if not reader.at_eof():
                await self.respond_again(writer, "next" if request.done() else "idle" if limit_s else "at_once")
        return await request

    async def respond_again(self, writer, moment):
        self.fleet.counts["second_" + moment] += 1
        response = writer.sent
        if self.random.random() < NAMELESS_RATE:
            response = re.sub(rb"Marigoldstep-Request-Id: [^\r]*\r\n", b"", response, count=1)
            writer.is_spoiled = True
            self.fleet.counts["second_nameless"] += 1
        split = self.random.choice([0, self.random.randrange(len(response))])
        for it in filter(None, (response[:split], response[split:])):
            writer.write(it)
            await writer.drain()
            await asyncio.sleep(self.random.choice([0, self.random.uniform(0, MAX_PAUSE_S)]))

    def record_backoff(self, request, writer):
        """Records that a gateway is told to send nothing for a while. After a response that
        names no request the gateway closes the connection, and reads nothing further."""
        call = self.fleet.callers.calls.get(request)
        now = time.monotonic()
        if call and not writer.is_spoiled:
            self.backoffs.append({"gateway": call.gateway, "child": call.child, "from": now + 0.5,
                                  "began": now, "until": now + self.backoff_s, "requests": 0})

    def check_cold(self, request):
        """Checks that all gateways together keep to the limit of a cold server."""
        now = time.monotonic()
        if now > self.cold_until:
            return
        self.fleet.counts["cold_arrivals"] += 1
        self.cold_arrivals = [it for it in self.cold_arrivals if it > now - 1] + [now]
        if len(self.cold_arrivals) > COLD_PER_S * COLD_OVERSHOOT + COLD_SLACK:
            self.fleet.report_problem(f"{self.name} got {len(self.cold_arrivals)} requests within a second while "
                                      f"cold, the last one {request}")

    def check_notices(self, request):
        """Checks that a gateway that was told to send nothing sends nothing."""
        call = self.fleet.callers.calls.get(request)
        if not call:
            return
        now, gateway = time.monotonic(), call.gateway
        told = self.fleet.leaving_told.get((gateway.name, self.name))
        if told and told["child"] is gateway.child and call.sent_at > told["at"] + self.fleet.drain_s \
                and gateway.last_disturbed < told["at"]:
            self.fleet.report_problem(f"{gateway.name} sent {request} to {self.name}, which is leaving")
        self.fleet.operator.evacuations.check(self, call)
        self.fleet.departures.check(self, call)
        for it in self.backoffs:
            # The gateway may not have got the refusal over a faulty connection.
            if it["gateway"] is gateway and it["child"] is gateway.child and it["from"] < now < it["until"] \
                    and gateway.last_disturbed < it["began"] and self.proxy.last_fault_at < it["began"] - 1:
                it["requests"] += 1
                if it["requests"] == 3:
                    self.fleet.report_problem(f"{gateway.name} sent 3 requests to {self.name} during its back-off")

    async def respond(self, line, headers, writer):
        request = headers.get("marigoldstep-request-id", "")
        path = line.split(" ")[1]
        head = f"Marigoldstep-Request-Id: {request}\r\nMarigoldstep-Response-Seal: {self.name}\r\n"
        if headers.get("marigoldstep-target-instance") != self.name:
            writer.write(("HTTP/1.1 421 Misdirected Request\r\n"
                          f"Marigoldstep-Request-Id: {request}\r\nContent-Length: 0\r\n\r\n").encode())
            return True
        self.check_notices(request)
        self.check_cold(request)
        if self.leaving:
            head += "Server-Leaving: 1\r\n"
        if self.backoff_s:
            self.record_backoff(request, writer)
            writer.write(f"HTTP/1.1 503 Service Unavailable\r\nMarigoldstep-Not-Executed: 1\r\n{head}"
                         f"Retry-After: {self.backoff_s:.3f}\r\nContent-Length: 0\r\n\r\n".encode())
            return True
        is_faulty = self.random.random() < self.fault_rate
        kind = self.random.choice(["refuse", "lose", "truncate", "garbage", "error", "slow"])
        if self.random.random() < self.fleet.status_rate:
            is_faulty, kind = True, self.random.choice(["refuse", "error"])
        if is_faulty and kind == "refuse":
            writer.write(("HTTP/1.1 503 Service Unavailable\r\nMarigoldstep-Not-Executed: 1\r\n"
                          f"Marigoldstep-Request-Id: {request}\r\nContent-Length: 0\r\n\r\n").encode())
            return True
        run = self.fleet.record_run(request, self, int(headers.get("last-event-id", 0)))
        if is_faulty and kind == "error":
            text = f"error of {request}"
            writer.write(("HTTP/1.1 500 Internal Server Error\r\n"
                          f"{head}Content-Length: {len(text)}\r\n\r\n{text}").encode())
            return True
        is_cut = is_faulty or self.random.random() < self.fleet.cut_rate
        if path.startswith(("/stream/", "/resume/")):
            return await self.send_stream(run, Stream(path.split("/")[2]), head, writer, is_cut)
        if path == "/safe/large":
            return await self.send_large(run, head, writer, is_cut)
        await asyncio.sleep(self.random.uniform(0.0, 0.03) + (0.4 if is_faulty and kind == "slow" else 0))
        text = f"answer to {request}"
        response = f"HTTP/1.1 200 OK\r\n{head}Content-Length: {len(text)}\r\n\r\n{text}".encode()
        if is_faulty and kind in ("lose", "truncate", "garbage"):
            writer.write({"lose": b"", "truncate": response[:-3], "garbage": b"\x00\x01 what\r\n\r\n"}[kind])
            return False
        writer.write(response)
        await writer.drain()
        return True

    async def send_stream(self, run, stream, head, writer, is_cut):
        sender = Sender(self.random, stream, run, writer)
        if is_cut:
            sender.plan_fault()
        return await sender.send(head)

    async def send_large(self, run, head, writer, is_cut):
        size = random.Random(run.request).randrange(BUFFERED_BYTES, 2 * BUFFERED_BYTES)
        body = make_large_body(run, size)
        cut = self.random.randrange(self.random.choice([0, BUFFERED_BYTES]), size) if is_cut else size
        run.plan = f"large cut={cut} of {size}"
        writer.write(f"HTTP/1.1 200 OK\r\n{head}Content-Length: {size}\r\n\r\n".encode() + body[:cut])
        await writer.drain()
        if is_cut and self.random.random() < 0.5:
            await asyncio.sleep(SETTLE_S)
            reset_connection(writer)
        return not is_cut

    async def crash(self):
        self.alive = False
        self.reporter.cancel()
        self.listener.close()
        self.proxy.server.close()
        self.proxy.reset()
