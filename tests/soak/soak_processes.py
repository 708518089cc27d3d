"""Daemons of the soak test: their settings files, starts and signals."""
import asyncio
import json
import os
import signal
import subprocess
import time

UNDISTURBED_S = 3.0
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# A signal may arrive before main() installs its handler, as a trace of seed 1 showed.
MIN_SIGNAL_AGE_S = 0.2


class Process:
    """A daemon with its settings file; only the soak test restarts it."""

    def __init__(self, fleet, kind, host, settings):
        self.fleet, self.kind, self.host, self.settings = fleet, kind, host, settings
        self.name = f"{kind}-{host}"
        self.last_disturbed = time.monotonic()
        self.child = None
        self.lock = asyncio.Lock()  # held between the end of one child and the start of the next

    def write_settings(self):
        path = self.fleet.folder / f"{self.name}.yaml"
        path.write_text("\n".join(f"{key}: {json.dumps(value)}" for key, value in self.settings.items()))
        return path

    def start(self):
        # The platform writes the settings anew for each start.
        if self.child:
            self.settings["seeds"] = self.fleet.list_seeds()
            if self.kind == "control":
                self.settings["first_start"] = False
        path = self.write_settings()
        log = open(self.fleet.folder / f"{self.name}.log", "ab")
        self.child = subprocess.Popen([f"{self.fleet.bin}/mstep-{self.kind}", "--config", str(path)],
                                      stdout=log, stderr=subprocess.STDOUT,
                                      # SIGXFSZ stays ignored: a write beyond the file size
                                      # limit fails and does not kill the process.
                                      restore_signals=False)
        log.close()
        self.started_at = self.last_disturbed = time.monotonic()

    def signal(self, number):
        self.last_disturbed = time.monotonic()
        if self.child.poll() is None:
            self.child.send_signal(number)

    def reload(self, seeds):
        self.settings["seeds"] = seeds
        self.write_settings()
        # main() may not have installed its handler yet.
        if self.child.poll() is None and time.monotonic() > self.started_at + MIN_SIGNAL_AGE_S:
            self.child.send_signal(signal.SIGHUP)

    async def wait_for_exit(self, limit_s):
        until = time.monotonic() + limit_s
        while self.child.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.05)
        return self.child.poll() is not None

    def memory_mb(self):
        """Resident memory; 0 once the process has ended."""
        try:
            with open(f"/proc/{self.child.pid}/statm") as it:
                return int(it.read().split()[1]) * PAGE_BYTES >> 20
        except (OSError, IndexError):
            return 0

    def is_undisturbed(self):
        return self.child.poll() is None and time.monotonic() - self.last_disturbed > UNDISTURBED_S
