"""Kills, restarts and suspends parts of a fleet at seeded random times while callers
send bookings and resend each one without a response through another router."""

import argparse
import random
import signal
import sys
import time

import fleet as harness

# Time between two faults, downtime of a killed process and suspension time of a control
# process. Each is drawn uniformly from its range.
FAULT_INTERVAL_S = (1.0, 3.0)
DOWNTIME_S = (0.5, 2.5)
SUSPENSION_S = (2.0, 6.0)
CALLS_PER_S = 25
CHATS_PER_S = 4
# Time after the last fault in which callers finish their last sends.
SETTLE_S = 20
MAX_RUN_S = 600


class FaultInjector:
    """Injects faults drawn from the seed and ends each one when it is due."""

    def __init__(self, fleet, seed, started):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.started = started
        self.pending_recoveries = []  # (due time, node, "restart" or "continue")
        self.counts = {}

    def print_progress(self, text):
        print(f"{time.monotonic() - self.started:6.1f} s  {text}", flush=True)

    def pick_available(self, group):
        """A random node of the group that is running and has no pending fault, or None."""
        faulty = [node for _, node, _ in self.pending_recoveries]
        available = [it for it in group if it.alive() and it not in faulty]
        return self.random.choice(available) if available else None

    def pick_control_process(self, kind):
        # A second failed control process would leave no quorum: no request could run, and
        # the test would cover only refusals.
        if len(self.fleet.controls) > 1 and any(
            node in self.fleet.controls for _, node, _ in self.pending_recoveries
        ):
            return None
        leader = harness.find_leader(self.fleet)
        if kind == "leader":
            return None if leader is None else self.fleet.controls[leader]
        if kind == "suspended control":
            return self.pick_available(self.fleet.controls)
        others = [it for i, it in enumerate(self.fleet.controls) if i != leader]
        return self.pick_available(others or self.fleet.controls)

    def pick_node(self, kind):
        if kind in ("leader", "follower", "suspended control"):
            return self.pick_control_process(kind)
        if kind == "agent":
            return self.pick_available(self.fleet.agents)
        # One router must stay up for the resends.
        node = self.pick_available(self.fleet.routers)
        others = [it for it in self.fleet.routers if it.alive() and it is not node]
        return node if others else None

    def inject_fault(self):
        kind = self.random.choice(
            ["leader", "follower", "agent", "agent", "router", "suspended control"]
        )
        node = self.pick_node(kind)
        if node is None:
            return
        self.counts[kind] = self.counts.get(kind, 0) + 1
        if kind == "suspended control":
            length = self.random.uniform(*SUSPENSION_S)
            node.process.send_signal(signal.SIGSTOP)
            self.pending_recoveries.append((time.monotonic() + length, node, "continue"))
            self.print_progress(f"suspended {node.name} for {length:.1f} s")
            return
        length = self.random.uniform(*DOWNTIME_S)
        harness.kill(node)
        self.pending_recoveries.append((time.monotonic() + length, node, "restart"))
        self.print_progress(f"killed {node.name} ({kind}) for {length:.1f} s")

    def recover_due(self, now):
        for it in [it for it in self.pending_recoveries if it[0] <= now]:
            self.pending_recoveries.remove(it)
            _, node, what = it
            if what == "continue":
                node.process.send_signal(signal.SIGCONT)
            else:
                harness.start(self.fleet, node)
                node.expected_exit = False

    def run(self, seconds):
        end = time.monotonic() + seconds
        next_fault = time.monotonic() + self.random.uniform(*FAULT_INTERVAL_S)
        while time.monotonic() < end:
            time.sleep(0.05)
            self.recover_due(time.monotonic())
            if time.monotonic() >= next_fault:
                self.inject_fault()
                next_fault = time.monotonic() + self.random.uniform(*FAULT_INTERVAL_S)
        self.recover_due(float("inf"))


def find_unexpected_exits(fleet, faults):
    """Names of the processes that ended without an injected fault."""
    faulty = [node for _, node, _ in faults.pending_recoveries]
    return [it.name for it in fleet.nodes() if not it.alive() and it not in faulty]


def load_values(seconds, seed):
    return {
        "seed": seed,
        "chats": CHATS_PER_S * seconds,
        "turns": 2,
        "concurrency": 300,
        "start_window_ms": 1000 * seconds,
        "median_pause_ms": 1000,
        "longest_pause_ms": 4000,
        "run_limit_ms": 1000 * (seconds + SETTLE_S),
        "idle_timeout_ms": 8000,
        "rechecked_calls": 50,
        "resend": "{sends: 12, pause_ms: 400, keep_not_run_share: 0.5}",
    }


def check_results(report, status, ended):
    failures = []
    if status != 0 or not report.get("holds"):
        failures.append("a response was wrong or lost, or a call ran twice or was falsely reported as not run")
    if ended:
        failures.append(f"exited without an injected fault: {', '.join(ended)}")
    return failures


def run(options):
    deployment = harness.DEPLOYMENTS["archive" if options.archive else "volta"]
    with harness.TemporaryFolder() as folder:
        fleet = harness.plan_fleet(
            deployment, folder.path, options.configuration, controls=options.controls
        )
        load = None
        try:
            harness.start_fleet(fleet)
            settings = harness.write_load_settings(
                fleet,
                load_values(options.seconds, options.seed),
                CALLS_PER_S * options.seconds,
                options.seconds,
            )
            load = harness.start_load(fleet, settings)
            faults = FaultInjector(fleet, options.seed, time.monotonic())
            faults.run(options.seconds)
            status, report = harness.wait_for_load(fleet, load, SETTLE_S + 60)
            ended = find_unexpected_exits(fleet, faults)
        finally:
            if load is not None and load.poll() is None:
                load.kill()
            harness.stop_fleet(fleet)
        failures = check_results(report, status, ended)
        if report:
            rows = [(f"faults: {kind}", n) for kind, n in sorted(faults.counts.items())]
            print()
            harness.print_table(rows + harness.report_rows(report))
            print(f"codes: {report['problem_codes']}")
        for failed_request in report.get("faults", []):
            print(f"  {failed_request}")
        for text in failures:
            print(f"check failed: {text}")
        folder.keep = bool(failures) or options.keep
        print("all checks passed" if not failures else "failed")
        return 1 if failures else 0


def seconds_in_range(text):
    value = int(text)
    if not 5 <= value <= MAX_RUN_S:
        raise argparse.ArgumentTypeError(f"must be from 5 to {MAX_RUN_S}")
    return value


def main():
    parser = argparse.ArgumentParser(prog="scripts/chaos", description=__doc__)
    parser.add_argument("--seconds", type=seconds_in_range, default=60)
    parser.add_argument("--seed", type=int, default=1, help="seed of faults and load")
    parser.add_argument("--archive", action="store_true", help="the archive deployment")
    parser.add_argument("--controls", type=int, default=3, help="control processes (1 or 3)")
    parser.add_argument("--configuration", help="configuration file to use instead of a generated one")
    parser.add_argument("--keep", action="store_true", help="keep the logs")
    sys.exit(run(parser.parse_args()))


if __name__ == "__main__":
    main()
