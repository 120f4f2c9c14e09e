"""After a spot machine is gone, an array waits beside an idle machine that fits it."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand_ins_2"))
from deployment import SAHKAR, Site, main

WAIT_S = 90.0  # "no job is left waiting for 90 s while a machine that fits has room and its team is under its limit"


async def case(folder, trouble):
    async with Site(folder, SAHKAR, capacity={}) as site:
        netra = [await site.add_machine("netra", "navrangpura") for _ in range(2)]
        spot = [await site.add_machine("chhota", yard, spot=True) for yard in SAHKAR["zones"] * 2]
        await asyncio.sleep(2)
        # A job with accelerators fills one of the two machines that have them, and runs on for the whole case.
        gate = site.spec("job-000001", cut="gang", vcpus=32.0, cards=4.0, ram_gb=100.0, urgency="urgent", lot="gate-face", crew="suraksha",
                         same_place=True, notch_s=15.0, stow_s=1.0, expect_s=300.0)
        if await site.submit(gate, 300.0) not in (200, 201):
            raise RuntimeError("the job with accelerators was not accepted")
        if not await site.wait_for(lambda: site.on_machines("job-000001"), 5):
            raise RuntimeError("the job with accelerators does not run")
        # Four arrays of one task, each of which fills a spot machine.
        names = ["job-%06d" % number for number in range(2, 6)]
        for name in names:
            spec = site.spec(name, vcpus=8.0, loaners=True, crew="hisaab", expect_s=300.0)
            if await site.submit(spec, 300.0) not in (200, 201):
                raise RuntimeError(f"{name} was not accepted")
        if not await site.wait_for(lambda: all(site.on_machines(name) for name in names), 8):
            raise RuntimeError("the arrays do not run")
        await asyncio.sleep(2.5)  # each worker has reported its task
        name, lost = next((n, w) for n in names for _, w, _ in site.on_machines(n) if w in spot)
        if trouble:
            site.trouble(f"{lost.name}, one of four spot machines, is taken back without notice")
            site.cloud.remove(lost.name, "taken back")
            site.cloud.capacity.clear()  # and the cloud has no other one
        began = time.monotonic()
        idle = lambda: [w for w in netra if w.alive and not w.tasks]
        idle_since = None  # since when the job waits beside an idle machine
        while time.monotonic() < began + WAIT_S + 16:
            _, answer = await site.poll(name)
            if answer.get("stage") == "queued" and not site.on_machines(name) and idle():
                idle_since = idle_since or time.monotonic()
                if time.monotonic() > idle_since + WAIT_S:
                    break
            else:
                idle_since = None
            if site.on_machines(name) and time.monotonic() > began + 20:
                break
            await asyncio.sleep(1)
        broken = [f"{rule}: {text}" for rule, text in site.checker.broken]
        if site.ended_by_itself():
            broken.append(f"controllers ended: {site.ended_by_itself()}")
        if idle_since and time.monotonic() > idle_since + WAIT_S:
            text = (f"{name} is queued for {time.monotonic() - idle_since:.0f} s while {[w.name for w in idle()]} runs nothing; its task needs "
                    "8 CPUs and 2 GB, any type is allowed, the machine has 32 and 128, and its team uses 24 CPUs of 272")
            site.record("RULE", text)
            broken.append(text)
        elif not broken and not site.on_machines(name):
            raise RuntimeError(f"{name} does not run, and the time was too short to see it wait for {WAIT_S:.0f} s")
        return broken


main(HERE, case)
