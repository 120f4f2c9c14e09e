"""A late transaction lists a machine that is gone; what is booked there never runs."""
import asyncio
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand_ins_2"))
from deployment import SAHKAR, Site, main

LATE_S = 8.0  # "carried out 2 to 12 s later"
NOTICE_S = 20.0  # "can be half as long or half as long again as the nominal value", which is 25 s
WAIT_S = 90.0  # "no job is left waiting for 90 s"


async def case(folder, trouble):
    async with Site(folder, SAHKAR, capacity={}) as site:
        ordinary = [await site.add_machine("madhyam", yard) for yard in SAHKAR["zones"]]
        await asyncio.sleep(3)
        spot = "host-%06d" % site.cloud.next
        late = []

        async def take_back(worker):
            worker.recall_at = time.monotonic() + NOTICE_S
            worker.changed.set()
            site.trouble(f"{spot} is to be taken back in {NOTICE_S} s, its worker reports the notice")
            await asyncio.sleep(NOTICE_S)
            site.cloud.remove(spot, "taken back")

        def is_late(node, body):
            """The first transaction that lists the new machine as one that takes work gets no answer, and is carried out
            late. Every other one is served as usual."""
            if late or not any("/zone/" in w.get("set", "") and spot in json.dumps(w["value"]) for w in body["writes"]):
                return None
            late.append(time.monotonic())
            site.trouble(f"a transaction of {node} gets no answer and is carried out {LATE_S} s later")
            asyncio.ensure_future(take_back(site.bays[spot]))
            return LATE_S

        if trouble:
            site.state.is_late = is_late
        await site.add_machine("madhyam", "navrangpura", spot=True)
        if trouble and not await site.wait_for(lambda: late, 8):
            raise RuntimeError("the new machine was never listed")
        await asyncio.sleep(LATE_S + 1)

        # A service with a task in each zone keeps the ordinary machines in use; each has room for 14 more CPUs.
        service = site.spec("job-000001", cut="daemon", boards=2, scatter=True, urgency="prod", lot="booking-desk", crew="khel-vibhag")
        job = site.spec("job-000002", boards=4, loaners=True)
        for spec in (service, job):
            if await site.submit(spec, 5.0) not in (200, 201):
                raise RuntimeError("a job was not accepted")
        accepted = time.monotonic()
        name = job["name_id"]
        started = lambda: any(board.startswith(name + "/") for board in site.checker.starts_seen)
        while time.monotonic() < accepted + WAIT_S and not (started() and site.jobs[name].done_at):
            await site.poll(name)
            await asyncio.sleep(3)
        broken = [f"{rule}: {text}" for rule, text in site.checker.broken]
        if site.ended_by_itself():
            broken.append(f"controllers ended: {site.ended_by_itself()}")
        if not started():
            if len(site.on_machines(service["name_id"])) != 2 or not all(w.alive and len(w.tasks) == 1 for w in ordinary):
                raise RuntimeError("the ordinary machines do not have the room that the case is about")
            text = (f"{name}: accepted {time.monotonic() - accepted:.0f} s ago, and no task of it was ever started; it needs 8 CPUs, "
                    f"{[w.name for w in ordinary]} have 14 free CPUs each, and its team uses nothing")
            site.record("RULE", text)
            broken.append(text)
        return broken


main(HERE, case)
