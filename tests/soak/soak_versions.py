"""Software versions of the soak test's backend servers, and the checks that a stream goes on
only at the version that began it, and that most streams do go on."""
import time

VERSION_COUNTS = [2, 2, 3, 2, 1]  # by seed
# Fewer streams say nothing about the share that goes on.
MIN_RESUMED = 12
MIN_RELATIVE_SHARE = 0.5
# For so long after its start a server may be unknown to gateways.
MAX_DISCOVERY_S = 2.0
# Leaves callers half of their deadline.
MAX_REFUSAL_S = 1.0
REFUSALS = (408, 421, 429, 503)


def find_share(results):
    return sum(results) / len(results) if results else 0.0


class Versions:
    def __init__(self, fleet):
        self.fleet = fleet
        count = VERSION_COUNTS[fleet.seed % len(VERSION_COUNTS)]
        self.names = ["v1", "v2", "v3"][:count]
        # Whether streams in undisturbed conditions brought an event, new ones and resumed ones.
        self.new, self.resumed = [], []
        fleet.counts |= {"server_versions": count, "releases": 0, "went_on": 0, "resumes_refused": 0}

    def observe(self, call):
        """Returns whether no fault keeps a gateway from responding at once, and whether
        two servers of the stream's version, or of any for a new stream, serve besides."""
        if not call.gateway.is_undisturbed() or not all(it.is_undisturbed() for it in self.fleet.control):
            return False, False
        servers = [it for it in self.fleet.started_servers
                   if it.alive and it.service == "engine" and call.version in (it.version, None)
                   and it.zone not in self.fleet.operator.evacuations.ordered]
        reachable = [it for it in servers if not it.backoff_s and it.proxy.last_fault_at < time.monotonic()]
        known_since = (time.time() - MAX_DISCOVERY_S) * 1000
        serving = [it for it in reachable if it.started < known_since and it.state == "ready" and not it.leaving]
        return len(reachable) == len(servers), len(serving) >= 2

    def check_order(self, call, received):
        """Checks that a stream holds events of one version only, over all attempts of its caller."""
        added = [it for it in received if it not in call.versions]
        call.versions += added
        if added and len(call.versions) > 1:
            runs = " ".join(str(it) for it in self.fleet.find_runs(call.request))
            self.fleet.report_problem(f"ORDER: {call.stream.name} ({call.request} at {call.gateway.name}) holds events "
                                      f"of {call.versions}, began as {call.first_attempt}; runs: {runs}")

    def record_outcome(self, call, last_event, observed):
        """Records whether a stream began or went on after an event, and checks its refusal."""
        has_more = call.last_event > last_event or call.received.is_complete
        is_calm, is_served = (call.is_undisturbed(0) and a and b
                              for a, b in zip(observed, self.observe(call), strict=True))
        if last_event:
            self.fleet.counts["went_on"] += has_more
            self.check_refusal(call, is_calm)
        if is_served and (has_more or not call.received.has_left):
            (self.resumed if last_event else self.new).append(has_more)

    def check_refusal(self, call, is_calm):
        if call.status not in REFUSALS:
            return
        self.fleet.counts["resumes_refused"] += 1
        if call.status != 503:
            self.fleet.report_problem(f"{call.request} resumes a stream and got {call.status}")
        elif is_calm and call.done_at > call.sent_at + MAX_REFUSAL_S:
            self.fleet.report_problem(f"{call.request} resumes a stream and was refused after "
                                      f"{call.done_at - call.sent_at:.3f} s")

    def check_lost(self):
        went_on, began = find_share(self.resumed), find_share(self.new)
        self.fleet.counts |= {"undisturbed_resumes": len(self.resumed), "share_went_on": round(went_on, 2),
                              "share_began": round(began, 2)}
        if len(self.resumed) >= MIN_RESUMED and went_on < began * MIN_RELATIVE_SHARE:
            self.fleet.report_problem(f"LOST: {went_on:.2f} of {len(self.resumed)} resumed streams went on, "
                                      f"{began:.2f} of {len(self.new)} new ones began")
