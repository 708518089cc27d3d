"""Orders of the soak test's operator to evacuate zones, and the checks that they are kept."""
import asyncio
import time

# Required by the users: nothing is sent to a zone so long after the order was confirmed.
MAX_APPLY_S = 5.0
RETRY_S = 0.2
# Longer than any fault of the control processes.
MAX_ORDER_S = 25.0


class Evacuations:
    def __init__(self, fleet):
        self.fleet = fleet
        self.confirmed = {}  # zone: when its evacuation was confirmed
        self.ordered = set()  # zones of which an order is under way or in force
        fleet.counts |= {"evacuated": 0, "orders_resent": 0, "checked_evacuated": 0}

    async def evacuate(self, zone, seconds):
        if zone in self.ordered:
            return
        self.ordered.add(zone)
        if await self.order("Start", zone):
            self.confirmed[zone] = time.monotonic()
            self.fleet.counts["evacuated"] += 1
            await asyncio.sleep(seconds)
            self.confirmed.pop(zone)
        await self.order("Finish", zone)
        # Gateways that are disturbed learn of the end later.
        await asyncio.sleep(1)
        self.ordered.discard(zone)

    async def order(self, verb, zone):
        """Sends an order to any process until it is confirmed, and at times once more after that."""
        until = time.monotonic() + MAX_ORDER_S
        while time.monotonic() < until:
            host = self.fleet.random.choice(self.fleet.control_hosts)
            status, text = await self.fleet.call(host, "POST", f"/v1/Evacuations.{verb}/{zone}", limit_s=1)
            if 400 <= status < 500:
                self.fleet.report_problem(f"{verb} of {zone} was refused: {status} {text}")
                return False
            if status == 200:
                self.fleet.record_event(f"{host} confirmed {verb} of {zone}")
                if self.fleet.random.random() < 0.3:
                    await self.fleet.call(host, "POST", f"/v1/Evacuations.{verb}/{zone}", limit_s=1)
                return True
            self.fleet.counts["orders_resent"] += 1
            await asyncio.sleep(RETRY_S)
        self.fleet.report_problem(f"{verb} of {zone} was not confirmed in {MAX_ORDER_S} s")
        return False

    def check(self, server, call):
        """Checks that a request that arrives at the server was not sent there against an order."""
        confirmed = self.confirmed.get(server.zone)
        if confirmed is None or call.sent_at < confirmed + MAX_APPLY_S:
            return
        self.fleet.counts["checked_evacuated"] += 1
        is_calm = all(it.last_disturbed < confirmed for it in [call.gateway, *self.fleet.control])
        if is_calm:
            self.fleet.report_problem(f"{call.gateway.name} sent {call.request} to {server.name} in evacuated "
                                      f"{server.zone}, {call.sent_at - confirmed:.1f} s after the confirmation")
