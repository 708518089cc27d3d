"""Runs a fleet on loopback under load while parts of it fail, and checks the results."""

import argparse
import json
import os
import re
import subprocess
import sys
import threading
import time

import fleet as harness

# Design targets: a draining backend server receives no new work after 2 s, and an
# accepted configuration is in force everywhere within 3 s.
MAX_DRAIN_DELAY_S = 2.0
MAX_IN_FORCE_S = 3.0
LOAD = {
    "chats": 1000,
    "turns": 3,
    "answer_tokens": 24,
    "concurrency": 200,
    "start_window_ms": 35_000,
    "median_pause_ms": 1500,
    "longest_pause_ms": 12_000,
    "run_limit_ms": 60_000,
}
CALLS = 300
LOOKUPS = 200
LOAD_LIMIT_S = 88
# Seconds after the start of the load.
KILL_ENGINE_AT_S, DRAIN_AT_S, KILL_ROUTER_AT_S, KILL_CONTROL_AT_S, CHANGE_AT_S = 6, 12, 18, 24, 30


def mstepctl(fleet, *arguments):
    command = [os.path.join(harness.BIN, "mstepctl"), *arguments]
    command += ["--author", "demo", "--control", ",".join(fleet.control_addresses)]
    return subprocess.run(command, capture_output=True, text=True, timeout=20, check=False)


def print_progress(started, text):
    print(f"{time.monotonic() - started:6.1f} s  {text}", flush=True)


class DrainWatcher:
    """Drains an agent and counts the attempts that it admits after MAX_DRAIN_DELAY_S."""

    def __init__(self, node):
        self.node = node
        self.late_admissions = None
        self.thread = threading.Thread(target=self.watch, daemon=True)

    def admitted(self):
        return harness.read_metrics(self.node.admin).get(
            "marigoldstep_agent_admitted_attempts_total", 0
        )

    def watch(self):
        try:
            time.sleep(MAX_DRAIN_DELAY_S)
            before = self.admitted()
            self.late_admissions = 0
            while True:  # ends when the agent has drained and stopped
                self.late_admissions = self.admitted() - before
                time.sleep(0.1)
        except OSError:
            self.late_admissions = self.late_admissions or 0

    def start(self):
        self.node.expected_exit = True
        harness.http("POST", self.node.admin, "/drain", b"")
        self.thread.start()


def change_configuration(fleet):
    """Proposes and approves a change; returns the seconds until it is in force."""
    with open(fleet.configuration, encoding="utf-8") as source:
        text = source.read()
    changed = text.rstrip("\n") + "\n# Revised while the fleet is under load.\n"
    path = harness.write(os.path.join(fleet.folder, "changed.yaml"), changed)
    proposed = mstepctl(fleet, "propose", path)
    if proposed.returncode != 0:
        raise RuntimeError(f"propose: {proposed.stdout}{proposed.stderr}")
    change_id = re.search(r"\bc-[0-9a-f]+", proposed.stdout).group(0)
    approved_at = time.monotonic()
    approved = mstepctl(fleet, "approve", change_id)
    if approved.returncode != 0:
        raise RuntimeError(f"approve: {approved.stdout}{approved.stderr}")
    return wait_in_force(fleet, approved_at)


def is_in_force(fleet):
    """Whether the control group reports that every live node applies the change."""
    status = mstepctl(fleet, "status", "--json")
    return status.stdout.startswith("{") and json.loads(status.stdout).get("in_force", False)


def wait_in_force(fleet, since, version=2, limit_s=10.0):
    """Seconds from since until every live node applies the version; None after limit_s."""
    while time.monotonic() - since < limit_s:
        versions = []
        for node in fleet.routers:
            if node.alive():
                try:
                    totals = harness.read_metrics(node.admin)
                    versions.append(totals.get("marigoldstep_router_config_version", 0))
                except OSError:
                    versions.append(0)
        if versions and min(versions) >= version and is_in_force(fleet):
            return time.monotonic() - since
        time.sleep(0.05)
    return None


def inject_failures(fleet, started, drain):
    """Injects the failures and the configuration change at their scheduled times.

    Returns the seconds until the change was in force, or None."""

    def wait_until(seconds):
        time.sleep(max(0.0, started + seconds - time.monotonic()))

    wait_until(KILL_ENGINE_AT_S)
    harness.kill(fleet.engines[2])
    print_progress(started, "killed the stand-in engine-2")
    wait_until(DRAIN_AT_S)
    drain.start()
    print_progress(started, f"draining {drain.node.name}")
    wait_until(KILL_ROUTER_AT_S)
    harness.kill(fleet.routers[1])
    print_progress(started, "killed router-1")
    wait_until(KILL_CONTROL_AT_S)
    leader = harness.find_leader(fleet)
    victim = fleet.controls[leader if leader is not None else 0]
    if len(fleet.controls) > 1:
        harness.kill(victim)
        print_progress(started, f"killed {victim.name}{'' if leader is None else ', the leader'}")
    wait_until(CHANGE_AT_S)
    seconds = change_configuration(fleet)
    after = "not in force in time" if seconds is None else f"in force after {seconds:.2f} s"
    print_progress(started, f"a change was proposed and approved: {after}")
    return seconds


def check_results(report, status, in_force, late_admissions, rates):
    """Checks the results and returns a list of the failed checks."""
    failures = []
    if status != 0 or not report.get("holds"):
        failures.append("a response was wrong or lost, or a call ran twice or was falsely reported as not run")
    if report.get("chats", {}).get("requests", 0) < LOAD["chats"]:
        failures.append("fewer chats than planned were sent")
    if report.get("calls", {}).get("requests", 0) < CALLS:
        failures.append("fewer calls than planned were sent")
    if in_force is None or in_force > MAX_IN_FORCE_S:
        failures.append(f"the change was not in force within {MAX_IN_FORCE_S} s")
    if late_admissions is None or late_admissions > 0:
        failures.append(f"the drained agent admitted work after {MAX_DRAIN_DELAY_S} s")
    if not rates:
        failures.append("no control traffic was sampled")
    return failures


def print_report(report, sampler, in_force, late_admissions):
    rows = harness.report_rows(report)
    skews = sorted(sampler.skews)
    if skews:
        median = skews[len(skews) // 2]
        rows.append(("skew: median / largest sample", f"{median:.2f} / {skews[-1]:.2f}"))
    for name, rate in sorted(sampler.control_rates().items()):
        rows.append((f"control bytes a second, {name}", f"{rate:.0f}"))
    rows.append(
        ("new work after the drain bound", "unknown" if late_admissions is None else int(late_admissions))
    )
    rows.append(
        ("change in force everywhere after", "never" if in_force is None else f"{in_force:.2f} s")
    )
    print()
    harness.print_table(rows)


def run(options):
    deployment = harness.DEPLOYMENTS["archive" if options.archive else "volta"]
    with harness.TemporaryFolder() as folder:
        fleet = harness.plan_fleet(
            deployment,
            folder.path,
            options.configuration,
            controls=options.controls,
            engine_speed=options.engine_speed,
        )
        sampler = harness.Sampler(fleet)
        in_force, load = None, None
        try:
            harness.start_fleet(fleet)
            started = time.monotonic()
            print_progress(started, f"{len(fleet.nodes())} processes are ready")
            settings = harness.write_load_settings(
                fleet, {**LOAD, "seed": options.seed}, CALLS, LOOKUPS
            )
            load = harness.start_load(fleet, settings)
            sampler.start()
            drain = DrainWatcher(fleet.agents[5])
            try:
                in_force = inject_failures(fleet, started, drain)
            except (RuntimeError, OSError, subprocess.SubprocessError) as problem:
                print_progress(started, f"the change failed: {problem}")
            left = LOAD_LIMIT_S - (time.monotonic() - started)
            status, report = harness.wait_for_load(fleet, load, max(1.0, left))
            sampler.stop()
        finally:
            if load is not None and load.poll() is None:
                load.kill()
            harness.stop_fleet(fleet)
        if report:
            print_report(report, sampler, in_force, drain.late_admissions)
        failures = check_results(report, status, in_force, drain.late_admissions, sampler.control_rates())
        print(f"codes of the last responses: {report.get('problem_codes')}")
        for failed_request in report.get("faults", []):
            print(f"  {failed_request}")
        for text in failures:
            print(f"check failed: {text}")
        folder.keep = bool(failures) or options.keep
        print("all checks passed" if not failures else "failed")
        return 1 if failures else 0


def main():
    parser = argparse.ArgumentParser(prog="scripts/demo", description=__doc__)
    which = parser.add_mutually_exclusive_group()
    which.add_argument("--archive", action="store_true", help="the archive deployment")
    which.add_argument("--volta", action="store_true", help="the Volta deployment (default)")
    parser.add_argument("--seed", type=int, default=1, help="seed of the load")
    parser.add_argument("--controls", type=int, default=3, help="control processes (1 or 3)")
    parser.add_argument("--configuration", help="configuration file to use instead of a generated one")
    parser.add_argument(
        "--engine-speed",
        type=float,
        default=harness.ENGINE_TOKENS_PER_SECOND,
        help="tokens a second of an engine that runs one request; 25 shows overload",
    )
    parser.add_argument("--keep", action="store_true", help="keep the logs")
    sys.exit(run(parser.parse_args()))


if __name__ == "__main__":
    main()
