"""Callers of the soak test: requests to the gateways and the checks of their responses."""
import asyncio
import dataclasses
import time

from soak_servers import make_large_body
from soak_streams import Received, Stream, check_stream

KEY = "soak-key"
KINDS = ["safe", "once", "once", "stream", "stream", "resume", "resume", "resume", "large"]
DEADLINE_MS = 2000
# The deadline and enough time for a busy machine.
MAX_WAIT_S = 4
# Undisturbed for so long before a request, a gateway has to respond in that time.
UNDISTURBED_S = 3.0
# An orderly end of a stream this long before the deadline leaves time to forward it.
MIN_TIME_LEFT_S = 0.5
MAX_RESUMES = 3
LEAVE_RATE = 0.3
# At times callers come back when the servers of the stream's version may have been replaced.
MAX_ABSENCE_S, LONG_ABSENCE_S = 0.2, 3.0


@dataclasses.dataclass
class Call:
    """One request of a caller to one gateway."""
    kind: str
    request: str
    gateway: object
    child: object
    sent_at: float
    stream: Stream | None = None
    last_event: int = 0  # what the caller has of the stream
    first_attempt: str = ""  # that brought the stream's first event
    versions: list = dataclasses.field(default_factory=list)  # of the servers of its events, over all attempts
    status: int = 0  # 0 without a response head
    server: str | None = None  # whose headers the caller got
    received: Received = dataclasses.field(default_factory=Received)
    done_at: float = 0.0

    @property
    def version(self):
        """Of the server that began the stream."""
        return self.versions[0] if self.versions else None

    def is_undisturbed(self, quiet_s):
        """Whether the gateway had no fault from quiet_s before the request until now."""
        return (self.gateway.child is self.child and self.child.poll() is None
                and self.gateway.last_disturbed < self.sent_at - quiet_s)


class Callers:
    def __init__(self, fleet):
        self.fleet = fleet
        self.last_number = 0
        self.calls = {}  # by request id
        self.refused = set()

    def next_number(self):
        self.last_number += 1
        return self.last_number

    def new_request(self):
        return f"{self.fleet.seed}-{self.next_number()}"

    def new_call(self, kind, gateway, **fields):
        call = Call(kind, self.new_request(), gateway, gateway.child, time.monotonic(), **fields)
        self.calls[call.request] = call
        self.fleet.counts["asked"] += 1
        return call

    async def run(self):
        while not self.fleet.stopping:
            await self.send_request(self.fleet.random.choice(self.fleet.gateways))
            await asyncio.sleep(self.fleet.random.uniform(0.0, 0.05))

    async def send_request(self, gateway):
        """Returns the status of the response; 0 without a complete one."""
        kind = self.fleet.random.choice(KINDS)
        if kind not in ("stream", "resume"):
            return await self.send(self.new_call(kind, gateway))
        call = self.new_call(kind, gateway, stream=Stream(self.new_request()))
        status = await self.send(call)
        for _ in range(MAX_RESUMES):
            # Requests after the faults aren't resumed, since each has to be served.
            if kind == "stream" or self.fleet.stopping or not self.can_resume(call):
                break
            call = await self.resume(call)
        return status

    def can_resume(self, call):
        was_cut = call.status == 200 and not call.received.is_complete
        return was_cut and (call.last_event == 0 or call.stream.has_usable_id(call.last_event))

    async def resume(self, last):
        """Comes back for the rest of a stream at another gateway, as a new request."""
        is_long = self.fleet.random.random() < 0.1
        await asyncio.sleep(self.fleet.random.uniform(0.0, LONG_ABSENCE_S if is_long else MAX_ABSENCE_S))
        gateway = self.fleet.random.choice([it for it in self.fleet.gateways if it is not last.gateway])
        call = self.new_call("resume", gateway, stream=last.stream, last_event=last.last_event,
                             first_attempt=last.first_attempt, versions=last.versions)
        self.fleet.counts["resumed"] += 1
        await self.send(call)
        return call

    async def send(self, call):
        """Returns the status of the response; 0 without a complete one."""
        status = 0
        observed, last_event = self.fleet.versions.observe(call), call.last_event
        if call.kind == "resume" and not self.fleet.stopping and self.fleet.random.random() < LEAVE_RATE:
            call.received.max_bytes = self.fleet.random.randrange(1, 200 + 2 * sum(call.stream.sizes.values()))
        try:
            status = await self.exchange(call)
        except (OSError, asyncio.IncompleteReadError):
            pass
        except (ValueError, LookupError, asyncio.LimitOverrunError) as problem:
            self.fleet.report_problem(f"{call.request} ({call.kind}) got a malformed response: {problem!r}")
        self.fleet.counts["left"] += call.received.has_left
        self.fleet.counts["failed"] += status == 0 and not call.received.has_left
        call.done_at = time.monotonic()
        if call.stream:
            self.check_stream(call)
        if call.kind == "resume":
            self.fleet.versions.record_outcome(call, last_event, observed)
        return status

    async def exchange(self, call):
        opening = asyncio.open_connection(call.gateway.host, self.fleet.front_port)
        reader, writer = await asyncio.wait_for(opening, MAX_WAIT_S)
        try:
            await self.exchange_on(reader, writer, call)
            if call.kind == "large" and call.status == 200:
                # Bytes beyond the length of the response would precede the next one.
                await self.exchange_on(reader, writer, self.new_call("safe", call.gateway))
            return call.status
        finally:
            writer.close()

    async def exchange_on(self, reader, writer, call):
        writer.write(self.make_request(call))
        try:
            await asyncio.wait_for(self.read_response(reader, call), MAX_WAIT_S)
        except asyncio.TimeoutError:
            if call.is_undisturbed(UNDISTURBED_S):
                self.fleet.report_problem(f"{call.gateway.name} kept the caller of {call.request} ({call.kind}) waiting, "
                                          f"status {call.status}")
            raise

    def make_request(self, call):
        target = f"/{call.kind}/x"
        if call.stream:
            target = f"/{call.kind}/{call.stream.name}"
        elif call.kind == "large":
            target = "/safe/large"
        resume = f"Last-Event-Id: {call.last_event}\r\nResumes: {call.first_attempt}\r\n" if call.last_event else ""
        return (f"POST {target} HTTP/1.1\r\nHost: h\r\nMarigoldstep-Request-Id: {call.request}\r\n"
                f"Marigoldstep-Deadline-Ms: {DEADLINE_MS}\r\nAuthorization: Bearer {KEY}\r\n{resume}"
                "Content-Length: 4\r\n\r\nbody").encode()

    async def read_response(self, reader, call):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
        call.status = int(head.split(" ")[1])
        fields = dict(it.split(": ", 1) for it in head.lower().split("\r\n")[1:] if ": " in it)
        call.server = fields.get("marigoldstep-response-seal")
        if "transfer-encoding" in fields:
            await call.received.read(reader)
        else:
            await self.read_body(reader, call, int(fields["content-length"]))
        self.record_status(call)
        if fields.get("server-leaving") == "1":
            self.record_leaving(call)

    async def read_body(self, reader, call, size):
        try:
            text = await reader.readexactly(size)
        except asyncio.IncompleteReadError as cut:
            self.check_body(call, cut.partial, size)
            raise
        self.check_body(call, text, size)

    def check_body(self, call, text, size):
        """A response that is cut, which its caller sees, is the beginning of a whole one."""
        if call.status == 500:
            bodies = [f"error of {call.request}".encode()]
        elif call.status != 200:
            return
        elif call.kind == "large":
            bodies = [make_large_body(it, size) for it in self.fleet.find_runs(call.request)]
        else:
            bodies = [f"answer to {call.request}".encode()]
        if not any(it.startswith(text) and len(it) == size for it in bodies):
            self.fleet.report_problem(f"{call.request} ({call.kind}) got another response: {len(text)} of {size} bytes, "
                                      f"{text[:60]!r}")

    def check_stream(self, call):
        runs = self.fleet.find_runs(call.request)
        verdict = check_stream(call.stream, runs, call.last_event, call.received, call.kind == "resume")
        if verdict.last_event > 0:
            call.first_attempt = call.first_attempt or call.request
        call.last_event = verdict.last_event
        self.fleet.versions.check_order(call, verdict.versions)
        is_whole = call.received.is_complete or call.received.has_left
        self.fleet.counts["cut"] += call.status == 200 and not is_whole
        problem = verdict.problem
        if not problem and verdict.first_server not in (None, call.server):
            problem = f"of {verdict.first_server} has the headers of {call.server}"
        if not problem and (lost := self.find_lost_event(call, runs)):
            problem = f"lacks event {lost}, which its server had sent"
        if problem:
            names = " ".join(str(it) for it in runs)
            self.fleet.report_problem(f"{call.kind} {call.stream.name} ({call.request} at {call.gateway.name}) "
                                      f"{problem}; runs: {names}")

    def find_lost_event(self, call, runs):
        """An event that arrived before the end of its connection and wasn't forwarded."""
        is_late = call.done_at > call.sent_at + DEADLINE_MS / 1000 - MIN_TIME_LEFT_S
        if call.received.has_left or is_late or not call.is_undisturbed(0):
            return None
        for it in runs:
            if it.sent_event and it.sent_event > call.last_event and it.server.proxy.last_fault_at < call.sent_at - 1:
                return call.last_event + 1
        return None

    def record_leaving(self, call):
        key = (call.gateway.name, call.server)
        self.fleet.leaving_told[key] = {"at": time.monotonic(), "child": call.child}
        self.fleet.counts["leaving"] += 1

    def record_status(self, call):
        if call.status == 200:
            self.fleet.counts["answered"] += 1
        elif call.status in (408, 421, 429, 503):
            self.fleet.counts["refused"] += 1
            if call.kind not in ("safe", "large"):
                self.refused.add(call.request)
        else:
            self.fleet.counts["failed"] += 1
            if call.status in (401, 404):
                self.fleet.report_problem(f"{call.request} on a route that always existed got {call.status}")

    def check_runs(self):
        for request, runs in self.fleet.runs.items():
            if request in self.refused:
                self.fleet.report_problem(f"{request} was reported as not run, but ran")
            call = self.calls.get(request)
            max_runs = 1 if call and call.kind in ("once", "stream") else 2
            if len(runs) > max_runs:
                self.fleet.report_problem(f"{request} ran {len(runs)} times")
