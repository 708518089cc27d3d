"""Small crowds of clients whose requests never end, and what they make a process hold."""
import asyncio
import random

CLIENTS = 28
PIECE = b"x" * 65536
INTERVAL_S = (1.0, 4.0)
HOLD_S = (0.5, 3.0)
WATCH_S = 0.02
WRITE_LIMIT_S = 2.0
# Low enough that a crowd fills the part for requests.
MEMORY_MB = {"gateway": 96, "control": 128}
BODY_BYTES = {"gateway": 4 << 20, "control": 8 << 20}
TARGETS = {"gateway": "POST /once/crowd", "control": "POST /crowd"}


class Crowds:
    """Opens crowds at random processes, and checks that none holds more than its machine has."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.random = random.Random(fleet.seed)  # of its own, so that other faults stay the same
        self.number = 0

    async def run(self):
        watch = asyncio.create_task(self.watch_memory())
        while not self.fleet.stopping:
            await asyncio.sleep(self.random.uniform(*INTERVAL_S))
            process = self.random.choice(self.fleet.gateways + self.fleet.control)
            is_chunked = self.random.random() < 0.5
            hold_s = self.random.uniform(*HOLD_S)
            self.fleet.counts["crowds"] += 1
            await asyncio.gather(*(self.hold_open(process, is_chunked, hold_s) for _ in range(CLIENTS)))
        await watch

    async def hold_open(self, process, is_chunked, hold_s):
        """Sends a body of legal size short of its end."""
        fleet, size = self.fleet, BODY_BYTES[process.kind]
        port = fleet.front_port if process.kind == "gateway" else fleet.api_port
        self.number += 1
        framing = "Transfer-Encoding: chunked" if is_chunked else f"Content-Length: {size}"
        head = (f"{TARGETS[process.kind]} HTTP/1.1\r\nHost: h\r\n"
                f"Marigoldstep-Request-Id: crowd-{self.number}\r\n{framing}\r\n\r\n")
        piece = b"%x\r\n%b\r\n" % (len(PIECE), PIECE) if is_chunked else PIECE
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(process.host, port), WRITE_LIMIT_S)
        except (OSError, asyncio.TimeoutError):
            return
        try:
            writer.write(head.encode())
            for _ in range(size // len(PIECE) - 1):
                writer.write(piece)
                await asyncio.wait_for(writer.drain(), WRITE_LIMIT_S)
            await asyncio.sleep(hold_s)
        except (OSError, asyncio.TimeoutError):
            pass  # a refusal closes the connection
        finally:
            writer.close()

    async def watch_memory(self):
        while not self.fleet.stopping:
            for it in self.fleet.gateways + self.fleet.control:
                used = it.memory_mb()
                self.fleet.counts["peak_mb"] = max(self.fleet.counts["peak_mb"], used)
                if used > MEMORY_MB[it.kind]:
                    self.fleet.report_problem(f"{it.name} holds {used} of {MEMORY_MB[it.kind]} MB")
            await asyncio.sleep(WATCH_S)
