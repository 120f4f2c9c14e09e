"""A soak of one small deployment under random troubles, all of which the pages name. It is
no case: it was run to look for faults. Usage: soak.py SECONDS SEED FOLDER"""

import asyncio
import os
import random
import signal
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import stand_ins as s  # noqa: E402


class Soak(s.World):
    told = None
    awaits = None

    def judge_start(self, worker, task):
        name = task.board.rpartition("/")[0]
        job = self.jobs[name]
        now = time.monotonic()
        for other in job.get("awaits") or []:
            if any(f"{other}/{i}" not in self.done_boards for i in range(self.jobs[other]["boards"])):
                self.break_rule(f"too_early: {task.board} starts before {other} is done")
        if not job["loaners"] and worker.loaners:
            self.break_rule(f"wrong_place: {task.board} on a cheap machine")
        if job["yard"] and worker.yard != job["yard"]:
            self.break_rule(f"wrong_place: {task.board} in {worker.yard}")
        zones = [w.yard for w in self.workers.values() for b, t in w.tasks.items()
                 if b != task.board and b.rpartition("/")[0] == name and w.on_machine(b)]
        if job["same_place"] and any(z != worker.yard for z in zones):
            self.break_rule(f"wrong_place: {task.board} starts in {worker.yard}, others in {zones}")
        if job["scatter"] and zones.count(worker.yard) + 1 > (job["boards"] + 1) // 2:
            self.break_rule(f"wrong_place: {task.board}: too many in {worker.yard}")
        used = sum(t.needs[0] for w in self.workers.values() for b, t in w.tasks.items()
                   if w.on_machine(b) and self.jobs[b.rpartition("/")[0]]["crew"] == job["crew"])
        limit = next(t for t in self.deployment["teams"] if t["name"] == job["crew"])["cpus_max"]
        if used > limit + 1e-6:
            self.break_rule(f"quota: {job['crew']} uses {used} of {limit}")

    def check_launch(self, worker, board, attempt):
        name = board.rpartition("/")[0]
        at = self.cancelled.get(name)
        if at and time.monotonic() - at > 0.2:
            self.record.write(f"NOTE launch after cancel: {board} try {attempt} on {worker.name}, {time.monotonic() - at:.3f} s after the user was told")

    def sweep(self):
        now = time.monotonic()
        for w in self.workers.values():
            if w.hung:
                continue
            for b in w.tasks:
                at = self.cancelled.get(b.rpartition("/")[0])
                if w.on_machine(b) and at and now - at > self.workers_settings["cancel_s"]:
                    self.break_rule(f"ran_cancelled: {b} on {w.name} {now - at:.1f} s after")
                    self.cancelled[b.rpartition("/")[0]] = now

    def hear(self, name, answer, asked_at, at):
        """An answer to a question about an accepted job."""
        if not answer:
            return
        status, _, value = answer
        final = self.told.get(name)
        if status == 404:
            self.break_rule(f"forgotten: {name} gets 404 at {at}")
        if status != 200:
            return
        stage = value["stage"]
        self.answered[name] = time.monotonic()
        if final and asked_at > final[1] and stage != final[0]:
            self.break_rule(f"went_back: {name} was {final[0]}, is {stage} at {at}")
        if stage == "aborted" and name not in self.asked_cancel and not any(o in self.asked_cancel for o in self.chain(name)):
            self.break_rule(f"went_back: {name} is aborted, nobody cancelled it")
        if stage == "done" and any(f"{name}/{i}" not in self.done_boards for i in range(self.jobs[name]["boards"])):
            self.break_rule(f"not_done: {name} is called done")
        if stage in ("done", "aborted") and not final:
            self.told[name] = (stage, time.monotonic())

    def chain(self, name):
        found = list(self.jobs[name].get("awaits") or [])
        for other in found:
            found += self.jobs[other].get("awaits") or []
        return found


async def user(world, rng, number, open_jobs):
    name = f"job-{number:06d}"
    kind = rng.choice(["batch", "batch", "gang", "gang", "daemon"])
    boards = rng.randint(1, 12) if kind == "batch" else rng.randint(1, 3)
    job = s.job(name, kind, boards, rng.choice([1.0, 2.0, 4.0, 6.0]), crew=rng.choice(["hisaab", "suraksha", "sabhya-seva"]),
                urgency=rng.choice(["low", "normal", "urgent", "prod"]), blueprint=f"img-{rng.randint(1, 4)}",
                runs_s=rng.uniform(0.5, 8), expect_s=5.0, loaners=rng.random() < 0.5,
                same_place=kind != "batch" and rng.random() < 0.5,
                scatter=kind == "daemon" and rng.random() < 0.5)
    if job["same_place"]:
        job["scatter"] = False
    if rng.random() < 0.25:
        accepted = [j for j in open_jobs if world.jobs[j]["cut"] != "daemon"]
        if accepted:
            job["awaits"] = [rng.choice(accepted)]
    answer = await world.submit(job, None, 60)
    if not answer or answer[0] not in (200, 201):
        if answer:
            world.record.write(f"NOTE {name} is refused: {answer}")
        return
    open_jobs.append(name)
    life = rng.uniform(0, 25)
    cancels = kind == "daemon" or rng.random() < 0.3
    began = time.monotonic()
    while time.monotonic() - began < 300:
        if cancels and time.monotonic() - began > life:
            world.asked_cancel.add(name)
            asked = time.monotonic()
            answer = await world.withdraw(name, None, 60)
            if answer:
                world.hear(name, answer, asked, "withdraw")
            cancels = False
        at = rng.choice(world.nodes)
        asked = time.monotonic()
        answer = await world.poll(name, at)
        world.hear(name, answer, asked, at.name)
        if name in world.told:
            for node in world.nodes:
                asked = time.monotonic()
                world.hear(name, await world.poll(name, node), asked, node.name)
            if rng.random() < 0.3:
                again = await world.submit(job, None, 5)
                if again and again[0] in (400, 422):
                    world.break_rule(f"forgotten: {name} repeated gets {again[0]}")
                world.hear(name, again, asked, "repeat")
            break
        await asyncio.sleep(rng.uniform(0.5, 3))
    if name in open_jobs:
        open_jobs.remove(name)


async def troubles(world, rng, until):
    state = world.state
    now_and_then = lambda n, m, p, q: 0.45 if rng.random() < 0.05 else None
    state.answer_delay = now_and_then
    while time.monotonic() < until:
        await asyncio.sleep(rng.uniform(1, 6))
        kind = rng.choice(["outage", "alone", "slow", "lost", "late_writes", "stop", "kill", "kill_all", "hang", "deaf",
                           "mute", "late_commands", "late_reports", "vanish", "short_kill"])
        span = rng.uniform(1, 20)
        node = rng.choice(world.nodes)
        workers = [w for w in world.workers.values() if w.up]
        world.record.write(f"TROUBLE {kind} {span:.1f} s {node.name}")
        if kind == "outage":
            state.set_outage(True)
            await asyncio.sleep(span)
            state.set_outage(False)
        elif kind == "alone":
            state.refused.add(node.name)
            await asyncio.sleep(span)
            state.refused.discard(node.name)
        elif kind == "slow":
            state.answer_delay = lambda n, m, p, q: rng.choice([0, 0.02, 0.1, 0.45])
            await asyncio.sleep(span)
            state.answer_delay = now_and_then
        elif kind == "lost":
            state.lose_answer = lambda n: rng.random() < 0.3
            await asyncio.sleep(span)
            state.lose_answer = None
        elif kind == "late_writes":
            state.carry_out_late = lambda n: rng.uniform(2, 12) if rng.random() < 0.3 else None
            await asyncio.sleep(span)
            state.carry_out_late = None
        elif kind == "stop" and node.process.poll() is None:
            node.signal(signal.SIGSTOP)
            await asyncio.sleep(span)
            node.signal(signal.SIGCONT)
        elif kind in ("kill", "short_kill"):
            node.kill()
            await asyncio.sleep(0.2 if kind == "short_kill" else span / 2)
            node.start()
        elif kind == "kill_all":
            for n in world.nodes:
                n.kill()
            await asyncio.sleep(span / 2)
            for n in world.nodes:
                n.start()
        elif workers and kind in ("hang", "deaf", "mute", "late_commands", "vanish"):
            chosen = rng.sample(workers, min(len(workers), rng.randint(1, 4)))
            if kind == "vanish":
                for w in chosen[:1]:
                    world.record.write(f"cloud: {w.name} is taken back")
                    world.cloud.machines.pop(w.name, None)
                    world.workers.pop(w.name, None)
                    w.vanish()
                continue
            for w in chosen:
                if kind == "hang":
                    w.hang(True)
                elif kind == "late_commands":
                    w.hold_command = lambda: rng.uniform(2, 16) if rng.random() < 0.5 else None
                else:
                    setattr(w, kind, True)
            await asyncio.sleep(span)
            for w in chosen:
                w.hung = w.deaf = w.mute = False
                w.hold_command = None
        elif kind == "late_reports":
            def copy(report):
                if rng.random() < 0.3:
                    at, delay = rng.choice(world.nodes), rng.uniform(2, 25)
                    async def send():
                        await asyncio.sleep(delay)
                        c = s.Connection(at.port)
                        await c.call("POST", "/agent/beat", report, timeout=4.0)
                        c.close()
                    asyncio.ensure_future(send())
            for w in workers:
                w.copy_report = copy
            await asyncio.sleep(span)
            for w in workers:
                w.copy_report = None


async def main(seconds, seed, folder):
    os.makedirs(folder, exist_ok=True)
    rng = random.Random(seed)
    record = s.Record(open(os.path.join(folder, "record.txt"), "w"), time.monotonic())
    grades = [g | {"ready_s": 3} for g in s.SAHKAR_GRADES if g["cards"] == 0]
    offers = {(g["label"], y, l): 4 for g in grades for y in g["yards"] for l in (True, False)}
    deployment = s.sahkar_deployment()
    for team in deployment["teams"]:
        team["cpus"], team["cpus_max"] = 8.0, 24.0
    if os.environ.get("SOAK_LIMITS"):
        deployment["state"] = {"rps": 80.0, "write_rps": 30.0, "value_kb": 8.0, "txn_ops": 16,
                               "next": {"rps": 60.0, "write_rps": 21.0, "value_kb": 2.0, "txn_ops": 4}}
    if os.environ.get("SOAK_LEASE"):
        deployment["workers"] = {"report_s": 3.0, "lease_s": 24.0, "gang_wait_s": 30.0, "gang_peer_s": 5.0, "cancel_s": 44.0}
    world = Soak(folder, record, deployment, s.SAHKAR_LOCATIONS, grades, offers, 1.5)
    world.told, world.asked_cancel, world.answered = {}, set(), {}
    world.peers_after_s = 3.0
    try:
        await world.start()
        end = time.monotonic() + seconds
        open_jobs = []
        running = [asyncio.ensure_future(troubles(world, rng, end - 60)) for _ in range(2)]
        number = 0
        lower_at = time.monotonic() + 60
        while time.monotonic() < end - 60:
            if os.environ.get("SOAK_LIMITS") and not world.state.lowered and time.monotonic() > lower_at:
                record.write("TROUBLE the state service lowers its limits")
                world.state.lowered = True
            number += 1
            running.append(asyncio.ensure_future(user(world, rng, number, open_jobs)))
            await asyncio.sleep(rng.uniform(0.2, 1.5))
            world.sweep()
            for node in world.nodes:
                code = node.process.poll()
                if code is not None and code != -9:
                    world.break_rule(f"crash: {node.name} ended by itself: {code}")
                    node.start()
            if not [w for w in world.workers.values()] and number % 20 == 0:
                for offer in offers:
                    offers[offer] = 4
        while time.monotonic() < end:
            await asyncio.sleep(1)
            world.sweep()
        now = time.monotonic()
        for name in list(world.jobs):
            if name not in world.told and name in world.answered:
                record.write(f"NOTE at the end not final: {name} {world.jobs[name]['cut']} last answer {now - world.answered[name]:.1f} s ago")
        record.write(f"jobs {len(world.jobs)}, final {len(world.told)}, broken {len(world.broken)}")
    finally:
        for task in asyncio.all_tasks():
            if task is not asyncio.current_task():
                task.cancel()
        world.stop()


if __name__ == "__main__":
    asyncio.run(main(float(sys.argv[1]), int(sys.argv[2]), sys.argv[3]))
