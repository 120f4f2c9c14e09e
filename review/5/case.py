"""A machine that failed every task for a few seconds, and is well again, gets no work any more."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand_ins_2"))
from deployment import SAHKAR, Site, main

SICK_S = 10.0
WAIT_S = 90.0  # "no job is left waiting for 90 s while a machine that fits has room and its team is under its limit"
JOBS = 4


async def case(folder, trouble):
    async with Site(folder, SAHKAR, capacity={}) as site:
        # One machine with accelerators, and one without in each zone; the cloud has no more.
        netra = [await site.add_machine("netra", "navrangpura")]
        for yard in SAHKAR["zones"]:
            await site.add_machine("chhota", yard)
        await asyncio.sleep(2)
        service = site.spec("job-000001", cut="daemon", boards=2, scatter=True, urgency="prod", lot="booking-desk", crew="khel-vibhag")
        if await site.submit(service) not in (200, 201):
            raise RuntimeError("the service was not accepted")
        if trouble:
            site.trouble(f"{netra[0].name} fails every task that it starts, for {SICK_S} s")
            for worker in netra:
                worker.sick = True
        names = ["job-%06d" % number for number in range(2, 2 + JOBS)]

        async def submit(name):
            spec = site.spec(name, cut="gang", boards=1, vcpus=28.0, cards=4.0, ram_gb=100.0, blueprint="img-" + name, urgency="urgent",
                             lot="gate-face", crew="suraksha", same_place=True, notch_s=15.0, stow_s=1.0, expect_s=5.0)
            if await site.submit(spec, 5.0) not in (200, 201):
                raise RuntimeError(f"{name} was not accepted")

        for name in names:
            await submit(name)
        await asyncio.sleep(SICK_S)
        for worker in netra:
            worker.sick = False
        if trouble:
            site.trouble("the machine is well again")
        names.append("job-%06d" % (2 + JOBS))  # one more, that has never met a sick machine
        await submit(names[-1])
        well, starts = time.monotonic(), dict(site.checker.starts_seen)
        idle_since = None  # since when a machine that fits was free all the time, and none of the jobs started
        while time.monotonic() < well + WAIT_S + 5:
            open_jobs = [n for n in names if not site.jobs[n].done_at]
            if not open_jobs:
                break
            for name in open_jobs:
                await site.poll(name)
            free = [w for w in netra if w.alive and not any(t.stage != "ended" for t in w.tasks.values())]
            if not free or dict(site.checker.starts_seen) != starts:
                idle_since, starts = None, dict(site.checker.starts_seen)
            else:
                idle_since = idle_since or time.monotonic()
            if idle_since and time.monotonic() > idle_since + WAIT_S:
                break
            await asyncio.sleep(2)
        broken = [f"{rule}: {text}" for rule, text in site.checker.broken]
        if site.ended_by_itself():
            broken.append(f"controllers ended: {site.ended_by_itself()}")
        waiting = [n for n in names if not site.jobs[n].done_at and not site.on_machines(n)]
        if waiting and idle_since and time.monotonic() >= idle_since + WAIT_S:
            text = (f"{waiting} wait for {time.monotonic() - idle_since:.0f} s while {[w.name for w in free]} is well and runs nothing; "
                    "each job needs 28 CPUs, 4 accelerators and 100 GB, a machine has 32, 4 and 128")
            site.record("RULE", text)
            broken.append(text)
        return broken


main(HERE, case)
