"""Streams that need most of the time that their requesters and their route allow."""
import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import fleet2  # noqa: E402

REQUESTERS = 40
TIME_BUDGET_MS = 15_000  # also the route's timeout_ms
EVENTS = 64
LONG_S, SHORT_S = 14.7, 12.0
AT_ANY_TIME = 3  # channels that may be closed without an answer
lasts_s = LONG_S


async def serve(replica, line, fields, body, writer):
    request_id = fields["marigoldstep-request-id"]
    began = time.monotonic()
    head = (f"HTTP/1.1 200 OK\r\nMarigoldstep-Request-Id: {request_id}\r\n"
            f"Marigoldstep-Response-Seal: {fleet2.seal(replica, request_id)}\r\n")
    if " /short/" in line:
        writer.write((head + "Content-Length: 2\r\n\r\nok").encode())
        return
    writer.write((head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
    for i in range(1, EVENTS + 1):
        await asyncio.sleep(max(0, began + lasts_s * i / EVENTS - time.monotonic()))
        if writer.is_closing():
            return
        event = f"id: {i}\ndata: {'x' * 40}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
    writer.write(b"0\r\n\r\n")
    replica.fleet.record(f"{replica.id} has run {request_id} to its end after "
                         f"{time.monotonic() - began:.2f} s")


async def ask(reader, writer, request_id, path, limit_s):
    writer.write(f"POST {path} HTTP/1.1\r\nHost: site.example\r\nMarigoldstep-Request-Id: {request_id}\r\n"
                 f"Marigoldstep-Deadline-Ms: {TIME_BUDGET_MS}\r\nContent-Length: 0\r\n\r\n".encode())
    head = await asyncio.wait_for(fleet2.read_head(reader), limit_s)
    if head is None:
        return None, False
    body, whole = await asyncio.wait_for(fleet2.read_body(reader, head[1]), limit_s)
    return int(head[0].split()[1]), whole


async def requester(fleet, number):
    """A stream on a kept channel. Whether it was cut before its time was over."""
    reader, writer = await asyncio.open_connection(*fleet.front(fleet.gateways[number % 2]))
    status, whole = await ask(reader, writer, f"short-{number:02d}", "/short/a", 5)
    if status != 200 or not whole:
        raise fleet2.CannotRun("a short request was not served")
    # The requests are spread over more than a second.
    await asyncio.sleep(0.5 + 0.035 * number)
    request_id = f"stream-{number:02d}"
    began = time.monotonic()
    fleet.record(f"{request_id} sent")
    status, whole = await ask(reader, writer, request_id, "/stream/a", 17)
    took_s = time.monotonic() - began
    fleet.record(f"{request_id}: {status}, {'whole' if whole else 'ended early'} after {took_s:.2f} s "
                 f"of {TIME_BUDGET_MS / 1000:.0f} s")
    writer.close()
    return not whole and took_s < TIME_BUDGET_MS / 1000


async def case(folder, with_trouble):
    global lasts_s
    lasts_s = LONG_S if with_trouble else SHORT_S
    fleet = fleet2.Fleet(folder)
    try:
        await fleet.start()
        routes = [fleet2.make_route("stream", "site.example", "/stream/", "streaming", "pool",
                                    timeout_ms=TIME_BUDGET_MS, max_attempts=1, target_gap_ms=500),
                  fleet2.make_route("short", "site.example", "/short/", "safe", "pool")]
        if not await fleet.send_config(fleet2.make_config(1, routes, ["pool"])):
            raise fleet2.CannotRun("the configuration was not confirmed")
        for zone in fleet.zones:
            await fleet2.Replica(fleet, "pool", zone, serve, slots=64).start()
        await fleet.wait_until_ready()
        await asyncio.sleep(4)
        for it in fleet.gateways:
            it.send_signal(signal.SIGHUP)
        cut = sum(await asyncio.gather(*[requester(fleet, i) for i in range(REQUESTERS)]))
        fleet.record(f"LOST: {cut} of {REQUESTERS} channels were closed without a complete answer before "
                     f"the time budget and the route's timeout; {AT_ANY_TIME} are allowed")
        return cut <= AT_ANY_TIME
    finally:
        await fleet.stop()


fleet2.main(case)
