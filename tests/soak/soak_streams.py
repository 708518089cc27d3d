"""Event streams of the soak test: their content, how backend servers send it and break
off, and the check of what callers received."""
import asyncio
import dataclasses
import random
import socket
import struct

MAX_EVENTS = 8
MAX_PAUSE_S = 0.02
# Lets bytes pass the proxy before a reset, which may discard what it has not read.
SETTLE_S = 0.02


def reset_connection(writer):
    """Closes a connection with RST; without the option the kernel may send FIN."""
    sock = writer.get_extra_info("socket")
    if sock and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


@dataclasses.dataclass
class Run:
    """One run of a request at a backend server."""
    number: int  # unique in the fleet
    request: str
    server: object
    last_event: int  # events after this one were asked for
    plan: str = ""
    # Last event sent in whole before an orderly end; absent after a reset or a response
    # without a request id.
    sent_event: int | None = None

    def __str__(self):
        server = f"{self.server.name} ({self.server.version})"
        return f"[run {self.number} at {server} after event {self.last_event}: {self.plan}]"


class Stream:
    """Content of a stream; equal for equal names but for the run that sends it."""

    def __init__(self, name):
        rng = random.Random(name)
        self.name = name
        self.event_count = rng.randint(1, MAX_EVENTS)
        self.line_end = rng.choice(["\n", "\n", "\r\n"])
        has_odd_ids = rng.random() < 0.2
        self.ids, self.sizes, self.comments = {}, {}, set()
        for i in range(1, self.event_count + 1):
            is_odd = has_odd_ids and rng.random() < 0.4
            self.ids[i] = rng.choice([None, "", f"{i}b"]) if is_odd else str(i)
            self.sizes[i] = rng.choice([0, rng.randrange(40), rng.randrange(1000), rng.randrange(6000)])
            if rng.random() < 0.15:
                self.comments.add(i)

    def has_usable_id(self, event):
        return self.ids[event] == str(event)

    def make_event(self, i, run):
        lines = [] if self.ids[i] is None else [f"id: {self.ids[i]}"]
        lines.append(f"data: event {i} of {self.name} by run {run.number}")
        if self.sizes[i]:
            lines.append("data: " + f"{run.number}.{i} ".ljust(8, "-") * (self.sizes[i] // 8))
        return "".join(it + self.line_end for it in [*lines, ""]).encode()

    def make_blocks(self, run):
        """Events and comments of a run, each with the number of the last event up to its end."""
        out = []
        for i in range(run.last_event + 1, self.event_count + 1):
            if i in self.comments:
                out.append((i - 1, f": run {run.number} before {i}{self.line_end * 2}".encode()))
            out.append((i, self.make_event(i, run)))
        return out


class Sender:
    """Sends the stream of one run, in pieces that need not end with an event."""

    def __init__(self, rng, stream, run, writer):
        self.rng, self.run, self.writer = rng, run, writer
        self.line_end = stream.line_end
        self.blocks = stream.make_blocks(run)
        self.ends = [0]
        for _, block in self.blocks:
            self.ends.append(self.ends[-1] + len(block))
        # Without a length and chunks, the body ends with the connection.
        self.is_framed = rng.random() < 0.7
        self.cut = self.ends[-1]
        self.fault = None

    def plan_fault(self):
        """Chooses how the stream breaks off. An end that is in order by its framing and
        falls between two events can't be told from a whole stream, so it isn't made."""
        self.fault = self.rng.choice(["reset", "close", "end_chunks" if self.is_framed else "close"])
        looks_whole = self.fault == "end_chunks" or (self.fault == "close" and not self.is_framed)
        if looks_whole and not self.blocks:
            self.fault = None
            return
        # The first event is cut more often than the others.
        n = 1 if self.rng.random() < 0.4 else len(self.blocks)
        if looks_whole:
            self.cut = self.choose_cut_inside(self.rng.randrange(n))
        elif self.rng.random() < 0.1:
            self.cut = 0
        else:
            self.cut = self.rng.randrange(self.ends[min(n, len(self.blocks))] + 1)

    def choose_cut_inside(self, block):
        """A position at which the block is incomplete; a comment needs no empty line."""
        is_comment = self.blocks[block][1].startswith(b":")
        line_ends = 2 * len(self.line_end) if is_comment else 1
        return self.rng.randrange(self.ends[block] + 1, self.ends[block + 1] - line_ends + 1)

    def split_points(self):
        """Ends of the writes: most events, and some positions inside."""
        points = {it for it in self.ends if it < self.cut and self.rng.random() < 0.8}
        for _ in range(self.rng.choice([0, 0, 1, 3])):
            points.add(self.rng.randrange(self.cut + 1))
        return sorted((points - {0}) | {self.cut})

    def frame(self, piece, announced):
        if not self.is_framed:
            return piece
        tail = b"\r\n" if announced == len(piece) else b""
        return f"{announced:x}\r\n".encode() + piece + tail

    async def send(self, head):
        """Returns whether the connection can be used further."""
        self.run.plan = f"framed={self.is_framed} fault={self.fault} cut={self.cut} of {self.ends[-1]}"
        framing = "Transfer-Encoding: chunked\r\n" if self.is_framed else ""
        self.writer.write(f"HTTP/1.1 200 OK\r\n{head}Content-Type: text/event-stream\r\n{framing}\r\n".encode())
        data, at = b"".join(block for _, block in self.blocks), 0
        for end in self.split_points():
            piece = data[at:end]
            is_cut_chunk = self.fault in ("reset", "close") and end == self.cut and self.rng.random() < 0.5
            if piece:
                self.writer.write(self.frame(piece, len(piece) + 10 * is_cut_chunk))
            at = end
            await self.writer.drain()
            await asyncio.sleep(self.rng.choice([0, self.rng.uniform(0, MAX_PAUSE_S)]))
        return await self.end()

    async def end(self):
        if self.fault == "reset":
            await asyncio.sleep(self.rng.choice([0, SETTLE_S]))
            reset_connection(self.writer)
            return False
        if self.fault and not self.writer.is_spoiled:
            self.run.sent_event = max([event for (event, _), end in zip(self.blocks, self.ends[1:], strict=True)
                                       if end <= self.cut], default=self.run.last_event)
        if self.is_framed and self.fault != "close":
            self.writer.write(b"0\r\n\r\n")
            await self.writer.drain()
            return True
        return False


class Received:
    """A chunked body as far as a caller has read it."""

    def __init__(self):
        self.data = b""
        self.partial_chunk_bytes = 0  # at the end of data, of a chunk that was cut
        self.is_complete = False
        self.max_bytes = None  # the caller leaves with so many
        self.has_left = False

    async def read(self, reader):
        while size := await self.read_chunk_size(reader):
            left = size
            while left:
                piece = await reader.read(left)
                if not piece:
                    raise asyncio.IncompleteReadError(b"", left)
                left -= len(piece)
                self.data += piece
                self.partial_chunk_bytes = size - left if left else 0
                if self.max_bytes and len(self.data) >= self.max_bytes:
                    self.has_left = True
                    raise ConnectionAbortedError("the caller left")
            await reader.readexactly(2)
        self.is_complete = True

    async def read_chunk_size(self, reader):
        line = await reader.readline()
        if not line.endswith(b"\r\n"):
            raise asyncio.IncompleteReadError(line, None)
        return int(line, 16)


@dataclasses.dataclass
class Verdict:
    """What a caller has of a stream."""
    last_event: int
    first_server: str | None = None
    problem: str | None = None
    versions: list = dataclasses.field(default_factory=list)  # of the servers of its events, in order


def check_stream(stream, runs, last_event, received, is_resumable):
    """Checks that a response consists of whole events of the runs of its request, in
    order, each once, after the event that the caller has."""
    rest, out, next_blocks = received.data, Verdict(last_event), []
    sources = 0
    for run in runs:
        taken = 0
        blocks = stream.make_blocks(run)
        while taken < len(blocks) and rest.startswith(blocks[taken][1]):
            if taken == 0 and run.last_event != out.last_event:
                out.problem = f"continues after event {run.last_event}, its caller has {out.last_event}"
                return out
            if blocks[taken][0] > out.last_event and run.server.version not in out.versions:
                out.versions.append(run.server.version)
            rest = rest[len(blocks[taken][1]):]
            out.last_event = blocks[taken][0]
            taken += 1
        if taken:
            sources += 1
            next_blocks = []
            out.first_server = out.first_server or run.server.name
        next_blocks += [it for _, it in blocks[taken:taken + 1]]
    out.problem = find_problem(stream, out.last_event, rest, next_blocks, received, is_resumable)
    if sources > 1 and not is_resumable:
        out.problem = f"is joined from {sources} runs"
    return out


def find_problem(stream, last_event, rest, next_blocks, received, is_resumable):
    if rest and not any(it.startswith(rest) for it in next_blocks):
        return f"has bytes that no run sent after event {last_event}: {rest[:60]!r}"
    if received.is_complete and (rest or last_event < stream.event_count):
        return f"ended as complete with {last_event} of {stream.event_count} events and {len(rest)} bytes"
    if is_resumable and len(rest) > received.partial_chunk_bytes:
        return f"has a part of event {last_event + 1}: {rest[:60]!r}"
    return None
