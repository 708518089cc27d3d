"""Faults of the control processes of the soak test and of the connections to them."""
import asyncio
import contextlib
import pathlib
import resource
import shutil
import signal
import time

from soak_processes import UNDISTURBED_S

# Required by the users: a process that is back, or new, counts as lost for so long.
SYNC_S = 4.0
# The operator's list of control processes is so old.
LIST_LAG_S = 3.0
MAX_CUT_S = 4.0
MAX_CONFIRMATION_WAIT_S = 2.0


class ControlFaults:
    """The part of the fleet that disturbs its control processes."""

    # At most tolerated_losses control processes at a time have a fault that counts as a loss.
    def reserve_control(self, process):
        if len(self.faulty_control) >= self.tolerated_losses or process.name in self.faulty_control:
            return False
        self.faulty_control.add(process.name)
        return True

    def reserve_all_control(self):
        if self.faulty_control:
            return False
        self.faulty_control |= {it.name for it in self.control}
        return True

    async def release_control(self, *processes, after_s=UNDISTURBED_S):
        await asyncio.sleep(after_s)
        self.faulty_control -= {it.name for it in processes}

    def disturb(self, processes, at=None):
        """Without a time, they are disturbed now."""
        for it in processes:
            it.last_disturbed = at or time.monotonic()

    async def kill_control(self):
        process = self.random.choice(self.control)
        if self.reserve_control(process):
            self.record_event(f"kill {process.name}")
            process.signal(signal.SIGKILL)
            await self.restart(process)
            await self.release_control(process)

    async def stop_control(self):
        process = self.random.choice(self.control)
        if self.reserve_control(process):
            await self.stop(process)
            process.start()
            await self.release_control(process)

    async def pause_control(self):
        process = self.random.choice(self.control)
        if self.reserve_control(process):
            self.record_event(f"pause {process.name}")
            await self.pause(process)
            await self.release_control(process)

    async def erase_control_data(self):
        process = self.random.choice(self.control)
        if self.reserve_control(process):
            self.record_event(f"erase {process.name}")
            process.signal(signal.SIGKILL)
            await process.wait_for_exit(5)
            shutil.rmtree(process.settings["data_dir"], ignore_errors=True)
            process.start()
            self.counts["erased"] += 1
            await self.release_control(process, after_s=SYNC_S)

    async def replace_control(self):
        """A control process ends for good; one at a new address with an empty disk takes its place."""
        index = self.random.randrange(len(self.control))
        old = self.control[index]
        if not self.reserve_control(old):
            return
        self.record_event(f"replace {old.name}")
        # A machine that loses power doesn't close its connections.
        if self.random.random() < 0.5:
            self.network.silence({old.host})
        self.disturb(self.control)
        old.signal(signal.SIGKILL)
        await old.wait_for_exit(5)
        self.network.remove_host(old.host)
        await asyncio.sleep(self.random.uniform(0.0, 1.5))
        new = self.control[index] = await self.add_control(first_start=False, seeds=self.list_seeds())
        new.start()
        self.counts["replaced"] += 1
        await asyncio.sleep(LIST_LAG_S)
        self.control_hosts[self.control_hosts.index(old.host)] = new.host
        for it in self.control + self.gateways:
            if it is not new and self.random.random() < 0.5:
                it.reload(self.list_seeds())
        await self.release_control(old, after_s=SYNC_S - LIST_LAG_S)

    async def kill_all_control(self):
        if not self.reserve_all_control():
            return
        self.record_event("kill all control processes")
        processes = list(self.control)
        for it in processes:
            it.signal(signal.SIGKILL)
        for it in processes:
            await it.wait_for_exit(5)
            it.start()
        await self.release_control(*processes)

    async def kill_all_processes(self):
        """Beside a change of the servers' versions, so that no process remembers which began a stream."""
        if not self.reserve_all_control():
            return
        release = asyncio.create_task(self.release_servers())
        await asyncio.sleep(self.random.uniform(0.0, 2.0))
        async with contextlib.AsyncExitStack() as stack:
            for it in self.gateways:
                await stack.enter_async_context(it.lock)
            self.record_event("kill all processes")
            self.counts["killed_all"] += 1
            processes = self.control + self.gateways
            for it in processes:
                it.signal(signal.SIGKILL)
            for it in processes:
                await it.wait_for_exit(5)
            # Servers of the old version may be gone by the time that they are back.
            await asyncio.sleep(self.random.choice([0.0, self.random.uniform(0.2, 1.5)]))
            for it in processes:
                it.start()
        await release
        await self.release_control(*self.control)

    async def fill_disk(self):
        """For some seconds writes to files of a control process fail, as on a full disk."""
        process = self.random.choice(self.control)
        if not self.reserve_control(process):
            return
        self.record_event(f"fill the disk of {process.name}")
        self.disturb([process], float("inf"))
        child = process.child
        limits = (0, resource.RLIM_INFINITY)
        if child.poll() is None:
            resource.prlimit(child.pid, resource.RLIMIT_FSIZE, limits)
            await asyncio.sleep(self.random.uniform(0.5, 3.0))
        if child.poll() is None:
            resource.prlimit(child.pid, resource.RLIMIT_FSIZE,
                             (resource.RLIM_INFINITY, resource.RLIM_INFINITY))
        self.disturb([process])
        await self.release_control(process)

    async def append_torn_record(self):
        """Appends random bytes to the log, as a power failure leaves part of an unsynced record."""
        process = self.random.choice(self.control)
        if not self.reserve_control(process):
            return
        self.record_event(f"tear the log of {process.name}")
        process.signal(signal.SIGKILL)
        await process.wait_for_exit(5)
        files = sorted(pathlib.Path(process.settings["data_dir"]).glob("segment-*"))
        if files:
            with open(files[-1], "ab") as log:
                log.write(self.random.randbytes(self.random.randrange(1, 200)))
        process.start()
        await self.release_control(process)

    async def inject_control_link_faults(self):
        """Injects faults into some or all connections to one control process."""
        process = self.random.choice(self.control)
        if not self.reserve_control(process):
            return
        self.record_event(f"link faults of {process.name}")
        proxies = self.network.proxies[process.host]
        selected = self.random.sample(proxies, self.random.randint(1, len(proxies)))
        self.disturb([process], float("inf"))
        await asyncio.gather(*[it.inject_fault(self.random) for it in selected])
        self.disturb([process])
        await self.release_control(process)

    # Silent connections harm nothing else, so that no process counts as lost. Gateways serve
    # callers all the while.
    def silence(self, processes):
        self.disturb(self.control)
        self.record_event(f"silence {' '.join(it.name for it in processes)}")
        self.counts["silenced"] += self.network.silence({it.host for it in processes})

    async def silence_control(self):
        self.silence([self.random.choice(self.control)])

    async def silence_all_control(self):
        self.silence(self.control)

    async def silence_gateways(self):
        self.silence(self.random.sample(self.gateways, self.random.randint(1, len(self.gateways))))

    async def cut_off(self, processes):
        self.record_event(f"cut off {' '.join(it.name for it in processes)}")
        self.counts["cut_off"] += len(processes)
        self.disturb(processes, float("inf"))
        await self.network.cut({it.host for it in processes}, self.random.uniform(0.5, MAX_CUT_S))
        self.disturb(processes)
        self.record_event("end of the cut")
        await self.release_control(*processes)

    async def cut_off_control(self):
        process = self.random.choice(self.control)
        if self.reserve_control(process):
            await self.cut_off([process])

    async def cut_off_all_control(self):
        if self.reserve_all_control():
            await self.cut_off(list(self.control))

    async def inject_series(self):
        """Silent connections before, during and after a loss, which at times follows a confirmation at once."""
        silences = [self.silence_control, self.silence_all_control, self.silence_gateways]
        losses = [self.kill_control, self.erase_control_data, self.replace_control, self.pause_control,
                  self.cut_off_control, self.kill_all_control]
        steps = self.random.choices(silences, k=self.random.randint(1, 3)) + [self.random.choice(losses)]
        self.random.shuffle(steps)
        if self.random.random() < 0.5:
            await self.operator.wait_for_confirmation(MAX_CONFIRMATION_WAIT_S)
        self.counts["series"] += 1
        tasks = []
        for step in steps:
            tasks.append(asyncio.create_task(step()))
            await asyncio.sleep(self.random.choice([0, self.random.uniform(0, 0.2), self.random.uniform(0.2, 1.5)]))
        await asyncio.gather(*tasks)
