"""A backend server deregisters, all processes are killed, and one of its earlier reports arrives late."""
import asyncio
import json
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import fleet as f  # noqa: E402

DRAIN_S, STABLE_WINDOW_S = 2.0, 3.0
LATE_S = 4.0  # of one report
DOWN_S = 0.5
SERVES_ON_S = 12.0  # after the confirmation of the deregistration
WORK_S = 0.05


async def answer(server, line, headers, reader, writer):
    await f.read_body(reader, headers)
    await asyncio.sleep(WORK_S)
    writer.write(f"HTTP/1.1 200 OK\r\n{server.seal(headers)}Content-Length: 2\r\n\r\nok".encode())
    await writer.drain()
    return True


async def run_caller(fleet, gateway, state):
    """A request each 0.1 s, on a new channel after a failure."""
    n, reader, writer = 0, None, None
    while True:
        n += 1
        request_id = f"{gateway.name}-{n}"
        state["sent"][request_id] = (time.monotonic(), gateway)
        try:
            if writer is None:
                reader, writer = await asyncio.open_connection(gateway.host, fleet.front_port)
            writer.write(f.request_head("/job/x", request_id))
            line, headers = await asyncio.wait_for(f.read_head(reader), 3)
            await f.read_body(reader, headers)
            outcome = line.split(" ")[1]
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as problem:
            outcome = type(problem).__name__
            if writer:
                writer.close()
            reader = writer = None
        state["outcomes"][outcome] = state["outcomes"].get(outcome, 0) + 1
        await asyncio.sleep(0.1)


async def case(record):
    fleet = f.Fleet(record, gateways=2)
    try:
        await fleet.start(f.configuration(1, [f.route("job", "app")], ["app"]))
        stays = f.Server(fleet, "app-stays", "app", "z-a", 8, answer)
        leaves = f.Server(fleet, "app-leaves", "app", "z-a", 8, answer)
        await stays.start()
        await leaves.start()
        state = {"sent": {}, "outcomes": {}}
        await asyncio.sleep(3)
        for it in fleet.gateways:
            asyncio.create_task(run_caller(fleet, it, state))
        await asyncio.sleep(2)
        record(f"requests at app-leaves before it leaves: {len(leaves.arrived)}")

        # The network delays a copy of this report; the server has it confirmed elsewhere.
        leaves.reporter.cancel()
        late = json.dumps({
            "service": "app", "address": f"{leaves.host}:{leaves.port}", "zone": "z-a", "version": "v1", "slots": 8,
            "state": "ready", "warmup_left_ms": 0, "seq": leaves.sequence + 1, "born": leaves.born}).encode()
        late_at = time.monotonic() + LATE_S
        if not await leaves.report():
            raise f.CaseError("the last report was not confirmed")
        leaves.sequence += 1
        body = json.dumps({"seq": leaves.sequence, "born": leaves.born}).encode()
        status = 0
        while status != 200:
            for it in fleet.controls:
                status, _ = await f.call(it.host, fleet.control_port, "POST",
                                         "/v1/Replicas.Deregister/app-leaves", body)
                if status == 200:
                    break
        gone_at = time.monotonic()
        record(f"{it.name} confirmed that app-leaves is gone; it serves on for {SERVES_ON_S} s")
        await asyncio.sleep(0.5)
        back_at = gone_at
        if f.TROUBLE:
            for it in fleet.controls + fleet.gateways:
                it.signal(signal.SIGKILL)
            for it in fleet.controls + fleet.gateways:
                it.child.wait()
            await asyncio.sleep(DOWN_S)
            for it in fleet.controls + fleet.gateways:
                it.start()
            back_at = time.monotonic()
        await asyncio.sleep(max(0, late_at - time.monotonic()))
        while True:
            status, _ = await f.call(fleet.controls[0].host, fleet.control_port, "POST",
                                     "/v1/Replicas.Heartbeat/app-leaves", late)
            record(f"the late report of app-leaves arrives at core-1: {status}")
            if status or time.monotonic() > late_at + 2:
                break
        await asyncio.sleep(max(0, gone_at + SERVES_ON_S - time.monotonic()))
        # Machines are in touch one stable window after the start of the last process.
        late_requests = [
            request_id for at, request_id in leaves.arrived
            if at > gone_at + DRAIN_S and at > back_at + STABLE_WINDOW_S + 0.3
            and state["sent"][request_id][0] > back_at + STABLE_WINDOW_S + 0.3]
        record(f"outcomes of all requests: {state['outcomes']}")
        record(f"requests that machines in touch sent to app-leaves later than drain_ms after the confirmation: "
               f"{len(late_requests)}; the first: {late_requests[:3]}")
        return len(late_requests) > 0
    finally:
        fleet.stop()


if __name__ == "__main__":
    f.run_case(FOLDER, case)
