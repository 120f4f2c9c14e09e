"""Case 2: more tasks are placed on one machine than its report can hold. From then on every
controller refuses the machine's reports, and its lease runs out again and again."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand_ins"))
import stand_ins as s  # noqa: E402

ARRAY, SERVICE = "job-000002", "job-000001"
# "no job is left waiting for 90 s while a machine that fits has room and its team is under
# its limit" (kit/more/hunt/LATER.md).
BOUND_S = 90.0


async def play(factory, trouble):
    grades = [g for g in s.SAHKAR_GRADES if g["label"] == "vishal"]
    world = factory(s.sahkar_deployment(), s.SAHKAR_LOCATIONS, grades, {})
    await world.start()
    machine = world.cloud.add("vishal", "alkapuri", False, 0.1)
    service = s.job(SERVICE, "daemon", 2, 2.0, crew="sabhya-seva", urgency="prod", lot="booking-desk")
    await world.submit(service)
    await world.until(lambda: sum(machine.on_machine(f"{SERVICE}/{i}") for i in range(2)) == 2, 20, "the service runs")
    # The array takes 50 CPUs of the machine's 64 in all, in either run.
    boards, vcpus = (2500, 0.02) if trouble else (100, 0.5)
    array = s.job(ARRAY, "batch", boards, vcpus, ram_gb=0.02, crew="hisaab", urgency="low",
                  lot="dues-sweep", runs_s=5.0, expect_s=5.0)
    answer = await world.submit(array)
    if not answer or answer[0] not in (200, 201):
        # Refusing such a job would keep the rule.
        world.record.write(f"the array is not accepted: {answer}")
        return
    accepted = time.monotonic()
    shift, stage = machine.shift, None
    while time.monotonic() - accepted < BOUND_S and stage != "done":
        await asyncio.sleep(5.0)
        for name in (ARRAY, SERVICE):
            polled = await world.poll(name)
            shown = polled[2] if polled else None
            world.record.write(f"user: GET {name}: {shown}; {len(world.done_boards)} tasks have run to their end; session {machine.shift}")
            if name == ARRAY and polled and polled[0] == 200:
                stage = polled[2]["stage"]
    leases = machine.shift - shift
    if world.over_limit and (leases > 0 or stage != "done"):
        world.break_rule(
            f"64 KiB: controllers sent workers {len(world.over_limit)} messages over the limit, up to "
            f"{max(world.over_limit)} bytes; the lease of the healthy machine ran out {leases} times, with the "
            f"service's tasks on it; after {time.monotonic() - accepted:.0f} s the array is called {stage}")
    elif stage != "done":
        world.break_rule(f"an accepted job must run: the array is called {stage}")


if __name__ == "__main__":
    sys.exit(s.run_case(FOLDER, play))
