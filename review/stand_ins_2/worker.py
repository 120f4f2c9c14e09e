"""Stand-in of the workers and their tasks: PROTOCOL, "Workers -> controller nodes" and "Gangs"."""
import asyncio
import random
import time

from net import Client, Server

GONE = "gone"


class Task:
    def __init__(self, board, attempt, job):
        self.board, self.attempt, self.job = board, attempt, job
        self.stage, self.cause, self.kept = "pulling", None, None
        self.on_machine = False  # has its image and has not ended
        self.until = None  # end of the present phase
        self.left = None  # run time that is left
        self.waiting_since = None
        self.peers_at = None

    def report(self):
        out = {"board": self.board, "try": self.attempt, "stage": self.stage}
        if self.cause:
            out["cause"] = self.cause
        if self.kept:
            out["kept"] = True
        return out


class Worker:
    def __init__(self, site, name, grade, yard, spot):
        self.site, self.name, self.grade, self.yard, self.spot = site, name, grade, yard, spot
        self.shift, self.tally, self.baton = 1, 0, 0
        self.tasks = {}  # (board, attempt) -> Task
        self.images = set()
        self.recall_at = None
        self.alive = True
        self.hung_until = 0.0
        self.deaf = False  # answers and direct commands are lost
        self.mute = False  # reaches no controller
        self.sick = False  # every task fails
        self.reset_reports = False
        self.hold_orders = None  # function: seconds that a direct command is held up
        self.server = Server(self.handle)
        self.lease_from = time.monotonic()
        self.changed = asyncio.Event()
        self.node = random.choice(list(site.node_addrs))
        self.clients = {}
        self.copies = []  # direct commands seen, for late copies
        self.reported = []  # reports sent, for late copies

    async def start(self):
        self.addr = await self.server.start()
        self.lease_from = time.monotonic()
        self.site.record(self.name, f"up: {self.grade} in {self.yard}{' spot' if self.spot else ''}, {self.addr}")
        asyncio.ensure_future(self._run())
        asyncio.ensure_future(self._report_loop())

    def kill(self, why):
        if not self.alive:
            return
        self.alive = False
        self.site.record(self.name, f"ends: {why}")
        for task in list(self.tasks.values()):
            self._left(task)
        self.tasks = {}
        self.server.stop()
        self.changed.set()

    def hang(self, seconds):
        self.site.record(self.name, f"hangs for {seconds} s")
        self.hung_until = time.monotonic() + seconds

    async def awake(self):
        while self.alive and time.monotonic() < self.hung_until:
            await asyncio.sleep(0.02)
        self._check_lease()

    def _check_lease(self):
        if self.alive and time.monotonic() - self.lease_from > self.site.workers["lease_s"]:
            if self.tasks:
                self.site.record(self.name, f"lease over, session {self.shift + 1}: kills {len(self.tasks)} tasks")
            for task in list(self.tasks.values()):
                self._left(task)
            self.tasks = {}
            self.shift += 1
            self.lease_from = time.monotonic()
            self.changed.set()

    def report(self):
        self.tally += 1
        recall = None if self.recall_at is None else max(0.0, self.recall_at - time.monotonic())
        return {
            "bay": self.name, "endpoint": self.addr, "grade": self.grade, "yard": self.yard, "loaners": self.spot,
            "shift": self.shift, "tally": self.tally, "baton": self.baton, "recall_s": recall,
            "boards": [t.report() for t in self.tasks.values()],
        }

    # --- reports ---

    async def _report_loop(self):
        report_s = self.site.workers["report_s"]
        while self.alive:
            await self.awake()
            if not self.alive:
                return
            self.changed.clear()
            pause = await self._one_report()
            if pause is not None:
                await asyncio.sleep(pause)
                continue
            await asyncio.sleep(0.5)
            wait = report_s * random.uniform(0.75, 1.25) - 0.5
            if wait > 0:
                try:
                    await asyncio.wait_for(self.changed.wait(), wait)
                except asyncio.TimeoutError:
                    pass

    def _next_node(self):
        nodes = list(self.site.node_addrs)
        self.node = nodes[(nodes.index(self.node) + 1) % len(nodes)]

    async def _one_report(self):
        """Returns the pause before the next report, or None for the usual one."""
        node, sent, shift = self.node, time.monotonic(), self.shift
        report = self.report()
        self.reported.append((node, report))
        del self.reported[:-50]
        client = self.clients.setdefault(node, Client(self.site.node_addrs[node]))
        try:
            if self.mute or not self.site.reaches(self, node):
                await asyncio.sleep(4)
                raise TimeoutError()
            status, answer, _ = await client.call("POST", "/agent/beat", report, 4)
            if not self.site.reaches(self, node):
                await asyncio.sleep(max(0, 4 - (time.monotonic() - sent)))
                raise TimeoutError()
            if self.deaf:
                await asyncio.sleep(max(0, 4 - (time.monotonic() - sent)))
                client.close()
                raise TimeoutError()
        except (OSError, TimeoutError):
            client.close()
            self._next_node()
            return 1.0
        if time.monotonic() < self.hung_until:
            await self.awake()
        if not self.alive or time.monotonic() - sent > 4:
            client.close()
            self._next_node()
            return 1.0
        if status == 200:
            if self.shift == shift and answer.get("baton", -1) >= self.baton:
                self.lease_from = sent
                if answer["baton"] > self.baton:
                    self.baton = answer["baton"]
                    self.changed.set()
                self.execute(answer.get("orders", []), f"answer of {node}")
            return None
        if status == 421:
            foreman = answer.get("foreman")
            if foreman in self.site.node_addrs and foreman != node:
                client.close()
                self.node = foreman
                return random.uniform(0, 0.5)
        client.close()
        self._next_node()
        return 1.0

    # --- direct commands ---

    async def handle(self, method, path, query, body):
        if self.deaf:
            await asyncio.sleep(3600)
        if self.hold_orders and path == "/orders":
            seconds = self.hold_orders(self, body)
            if seconds:
                self.site.record(self.name, f"direct command with token {body.get('baton')} held up for {seconds:.1f} s")
                await asyncio.sleep(seconds)
        await self.awake()
        if not self.alive:
            await asyncio.sleep(3600)
        if path == "/status":
            return 200, self.report()
        return self.orders(body, "direct")

    def orders(self, body, how):
        if body is None or "baton" not in body or "shift" not in body:
            return 400, {}
        if body["baton"] < self.baton or body["shift"] != self.shift:
            return 409, self.report()
        if body["baton"] > self.baton:
            self.baton = body["baton"]
            self.changed.set()
        self.copies.append(body)
        self.execute(body.get("orders", []), f"{how} token {body['baton']}")
        return 200, self.report()

    def execute(self, orders, how):
        for order in orders:
            key = (order["board"], order["try"])
            task = self.tasks.get(key)
            if order["verb"] == "launch":
                if task is None:
                    self._launch(order["board"], order["try"], how)
            elif order["verb"] == "stop":
                if task is not None and task.stage != "ended":
                    self.site.record(self.name, f"stop {key[0]} try {key[1]} ({how})")
                    self._stop(task, order.get("easing_s", 0) or 0, how)
            elif order["verb"] == "forget":
                if task is not None and task.stage == "ended":
                    self.site.record(self.name, f"forget {key[0]} try {key[1]} ({how})")
                    del self.tasks[key]

    def _launch(self, board, attempt, how):
        name, _, number = board.rpartition("/")
        job = self.site.jobs.get(name)
        task = Task(board, attempt, job)
        self.tasks[(board, attempt)] = task
        self.changed.set()
        cause = None
        if job is None or not number.isdigit() or int(number) >= job.spec["boards"]:
            cause = "no_such"
        elif any(t.board == board and t is not task and t.stage != "ended" for t in self.tasks.values()):
            cause = "busy"
        elif not self._fits(job.spec, task):
            cause = "full"
        self.site.record(self.name, f"launch {board} try {attempt} ({how}){' refused: ' + cause if cause else ''}")
        if cause:
            task.stage, task.cause = "ended", cause
            return
        if job.spec["blueprint"] in self.images:
            self._has_image(task)
        else:
            rate = self.site.grades[self.grade]["pull_gb_per_s"]
            task.until = time.monotonic() + job.spec["pull_gb"] / rate * random.uniform(0.8, 1.2)

    def _fits(self, spec, new):
        grade = self.site.grades[self.grade]
        for field in ("vcpus", "cards", "ram_gb"):
            used = sum(t.job.spec[field] for t in self.tasks.values() if t.stage != "ended" and t is not new)
            if used + spec[field] > grade[field] + 1e-6:
                return False
        return True

    def _has_image(self, task):
        self.images.add(task.job.spec["blueprint"])
        task.on_machine = True
        self.site.checker.starts(self, task)
        if self.sick:
            self._end(task, "error")
        elif task.job.spec["cut"] == "gang":
            task.stage, task.waiting_since = "waiting", time.monotonic()
            self.site.gang_check(task)
        else:
            self.run(task)
        self.changed.set()

    def run(self, task):
        task.stage = "running"
        task.left = task.job.run_s(task.board) if task.job.spec["cut"] != "daemon" else None
        if task.board in task.job.results and task.job.spec["cut"] != "daemon":
            task.left = 0
        self.changed.set()

    def _stop(self, task, easing, how):
        spec = task.job.spec
        if task.stage == "running" and spec["notch_s"] > 0 and easing >= spec["stow_s"]:
            task.stage = "flushing"
            task.until = time.monotonic() + spec["stow_s"]
            self.changed.set()
        elif task.stage != "flushing" or easing == 0:
            self._end(task, "stopped")

    def _left(self, task):
        if task.on_machine:
            task.on_machine = False
            self.site.checker.leaves(self, task)
            self.site.gang_lost(task)

    def _end(self, task, cause):
        task.stage, task.cause = "ended", cause
        if cause == "done":
            task.job.results.add(task.board)
        self._left(task)
        self.site.record(self.name, f"{task.board} try {task.attempt} ended: {cause}")
        self.changed.set()

    async def _run(self):
        last = time.monotonic()
        while self.alive:
            await asyncio.sleep(0.03)
            now = time.monotonic()
            if now < self.hung_until:
                for task in self.tasks.values():
                    if task.until is not None:
                        task.until += now - last
                last = now
                self._check_lease()  # a machine that hangs for longer than its lease has lost its tasks
                continue
            self._check_lease()
            for task in list(self.tasks.values()):
                if task.stage == "pulling" and now >= task.until:
                    self._has_image(task)
                elif task.stage == "waiting" and now - task.waiting_since > self.site.workers["gang_wait_s"]:
                    self._end(task, "incomplete")
                elif task.stage == "running":
                    if task.peers_at is not None and now >= task.peers_at:
                        self._end(task, "peers")
                    elif task.left is not None:
                        task.left -= now - last
                        if task.left <= 0:
                            self.site.gang_done(task) if task.job.spec["cut"] == "gang" else self._end(task, "done")
                elif task.stage == "flushing" and now >= task.until:
                    task.kept = True
                    self._end(task, "stopped")
            last = now
