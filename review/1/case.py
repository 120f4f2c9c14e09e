"""Case 1: a controller that reads the state anew after an outage of the state service
forgets its own newest commits. It launches again what it has just released, while the
next attempt of the same task already runs on another machine."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand_ins"))
import stand_ins as s  # noqa: E402

# "Responses usually take under 10 ms, and now and then a few hundred."
SLOW_ANSWER_S = 0.5
# A machine hangs for longer than its lease of 10 s.
HANG_S = 10.6
OUTAGE_S = 12.0
JOB = "job-000001"
DEPLOYMENTS = 4


def boards(world, stage):
    tasks = [t for w in world.workers.values() for t in w.tasks.values()]
    return [t for t in tasks if t.stage == stage]


async def one_day(factory, trouble):
    """A gang of two tasks runs on two ordinary machines of one zone. Meanwhile two cheap
    machines, which the gang prefers, have come up in the other zone."""
    grades = [g for g in s.SAHKAR_GRADES if g["label"] == "madhyam"]
    world = factory(s.sahkar_deployment(), s.SAHKAR_LOCATIONS, grades, {})
    try:
        await world.start()
        # The only controller of this zone owns both machines.
        first = [world.cloud.add("madhyam", "alkapuri", False, 0.1) for _ in range(2)]
        gang = s.job(JOB, "gang", 2, 12.0, same_place=True, loaners=True, lot="churn-train", pull_gb=0.01,
                     runs_s=200.0)
        await world.submit(gang)
        await world.until(lambda: len(boards(world, "running")) == 2, 25, "the gang runs")
        for _ in range(2):
            world.cloud.add("madhyam", "navrangpura", True, 0.1)
        await asyncio.sleep(1.5)
        if trouble:
            await disrupt(world, first[1])
        else:
            await asyncio.sleep(OUTAGE_S)
        await asyncio.sleep(1.2)
    finally:
        world.stop()


async def disrupt(world, machine):
    slow_answers = [1]

    def answer_delay(node, method, path, query):
        # One answer of the state service is slow: the first read of the state at the
        # owner of the gang's machines after the outage.
        if node == "bay-1" and path == "/store" and slow_answers[0]:
            slow_answers[0] -= 1
            return SLOW_ANSWER_S
        return None

    world.state.answer_delay = answer_delay
    world.state.set_outage(True)
    await asyncio.sleep(0.3)
    machine.hang(True)
    await asyncio.sleep(HANG_S)
    machine.hang(False)
    await asyncio.sleep(OUTAGE_S - HANG_S - 0.3)
    world.state.set_outage(False)


async def play(factory, trouble):
    """Plays short days, several deployments side by side, until a rule is broken."""
    began = time.monotonic()
    while not s.World.any_broken and time.monotonic() - began < 75:
        await asyncio.gather(*(one_day(factory, trouble) for _ in range(DEPLOYMENTS)))


if __name__ == "__main__":
    sys.exit(s.run_case(FOLDER, play))
