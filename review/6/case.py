"""A replica that runs a deposit and then fails with its own 503, without
Marigoldstep-Not-Executed."""
import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import fleet2  # noqa: E402

# One of four replicas fails this part of what it runs, for this long (srv_grey of aafp-montevideo).
FAILING_PART = 0.45
LASTS_S = 6.5
PER_S = 18.3  # deposit-once
PROMISES = (408, 421, 429, 503)
grey = set()  # replicas that fail a part of what they run


async def serve(replica, line, fields, body, writer):
    request_id = fields["marigoldstep-request-id"]
    await asyncio.sleep(0.06)
    fails = replica.id in grey and random.random() < FAILING_PART
    status = "503 Service Unavailable" if fails else "200 OK"
    replica.fleet.record(f"{replica.id} has run {request_id} and answers {status}")
    content = b"failed after the work" if fails else b"recorded"
    writer.write(f"HTTP/1.1 {status}\r\nMarigoldstep-Request-Id: {request_id}\r\n"
                 f"Marigoldstep-Response-Seal: {fleet2.seal(replica, request_id)}\r\n"
                 f"Content-Length: {len(content)}\r\n\r\n".encode() + content)


async def deposit(fleet, number):
    """Whether the request was refused although it has run."""
    request_id = f"deposit-{number:04d}"
    gateway = fleet.gateways[number % 2]
    fleet.record(f"{request_id} sent to {gateway.name}")
    answer = await fleet2.call(
        *fleet.front(gateway), "POST", "/deposit/formula", b"formula 7",
        {"Host": "site.example", "Marigoldstep-Request-Id": request_id,
         "Marigoldstep-Deadline-Ms": "3000"}, limit_s=3.5)
    status = answer.status if answer else None
    runs = sum(it.ran.count(request_id) for it in fleet.replicas)
    fleet.record(f"{request_id}: the requester gets {status}; runs: {runs}")
    return status in PROMISES and runs > 0


async def case(folder, with_trouble):
    fleet = fleet2.Fleet(folder)
    try:
        await fleet.start()
        routes = [fleet2.make_route("deposit", "site.example", "/deposit/", "unsafe", "svc-a",
                                    timeout_ms=3000, max_attempts=1)]
        if not await fleet.send_config(fleet2.make_config(1, routes, ["svc-a"])):
            raise fleet2.CannotRun("the configuration was not confirmed")
        for i in range(4):
            await fleet2.Replica(fleet, "svc-a", fleet.zones[i % 3], serve).start()
        await fleet.wait_until_ready()
        await asyncio.sleep(4)
        if with_trouble:
            grey.add(fleet.replicas[0].id)
        began = time.monotonic()
        tasks = []
        while time.monotonic() - began < LASTS_S:
            tasks.append(asyncio.ensure_future(deposit(fleet, len(tasks))))
            await asyncio.sleep(1 / PER_S)
        broken = sum(await asyncio.gather(*tasks))
        fleet.record(f"REFUSED: {broken} requests were answered {PROMISES} and have run")
        return broken == 0
    finally:
        await fleet.stop()


fleet2.main(case)
