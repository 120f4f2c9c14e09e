"""A small deployment: three controllers as processes, and stand-ins of the state service, the cloud, the workers and
the users, on loopback addresses. The rule checker sees what clients, servers and the platform see."""
import asyncio
import collections
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

from net import Client, Proxy, Server
from state import Bucket, StateService
from worker import Worker

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

# Figures of the two deployments in BRIEF; the machine types are those of the first one or the second one.
SEGHERIA = {
    "zones": ["capannone-nord", "capannone-sud", "ufficio-porto"],
    "node_zones": ["capannone-nord", "capannone-sud", "ufficio-porto"],
    "workers": {"report_s": 3.0, "lease_s": 24.0, "gang_wait_s": 30.0, "gang_peer_s": 5.0, "cancel_s": 44.0},
    "state": {"rps": 80.0, "write_rps": 30.0, "value_kb": 8.0, "txn_ops": 16},
    "cloud": {"rps": 4.0, "list_lag_s": 10.0},
    "machine_limits": {"cpu": 0.08, "memory_mb": 104.0, "sockets": 1800},
    "clock_off_ms": 25.0,
    "teams": [{"name": "squadra-piazzale-%02d" % n, "cpus": 24.0, "cpus_max": 48.0, "gpus": 2.0, "gpus_max": 6.0} for n in range(16)],
    "grades": {
        "bancone": (4, 0, 8, 0.14, 0.04, 20, 0.8), "cavalletto": (8, 0, 32, 0.32, 0.1, 50, 0.25),
        "trave": (16, 0, 128, 0.77, 0.26, 25, 0.4), "occhio": (16, 2, 128, 5.29, 1.56, 45, 0.25),
        "grande-occhio": (32, 4, 256, 14.22, 4.42, 60, 1.0),
    },
}
SAHKAR = {
    "zones": ["navrangpura", "alkapuri"],
    "node_zones": ["navrangpura", "alkapuri", "navrangpura"],
    "workers": {"report_s": 1.0, "lease_s": 10.0, "gang_wait_s": 35.0, "gang_peer_s": 8.0, "cancel_s": 40.0},
    "state": {"rps": 200.0, "write_rps": 80.0, "value_kb": 16.0, "txn_ops": 12},
    "cloud": {"rps": 5.0, "list_lag_s": 8.0},
    "machine_limits": {"cpu": 0.12, "memory_mb": 56.0, "sockets": 900},
    "clock_off_ms": 5.0,
    "teams": [
        {"name": "sabhya-seva", "cpus": 216.0, "cpus_max": 896.0, "gpus": 0.0, "gpus_max": 0.0},
        {"name": "hisaab", "cpus": 104.0, "cpus_max": 272.0, "gpus": 0.0, "gpus_max": 0.0},
        {"name": "suraksha", "cpus": 128.0, "cpus_max": 360.0, "gpus": 0.0, "gpus_max": 0.0},
        {"name": "khel-vibhag", "cpus": 216.0, "cpus_max": 896.0, "gpus": 0.0, "gpus_max": 0.0},
    ],
    "grades": {
        "chhota": (8, 0, 16, 0.33, 0.09, 20, 0.3), "madhyam": (16, 0, 64, 0.75, 0.24, 25, 0.5),
        "vishal": (64, 0, 256, 2.81, 0.83, 40, 0.5), "netra": (32, 4, 128, 8.23, 2.22, 60, 0.5),
    },
}


class Job:
    def __init__(self, spec, seconds):
        self.spec, self.seconds = spec, seconds
        self.results = set()
        self.accepted_at = self.cancelled_at = self.done_at = None
        self.cancel_asked = False
        self.last_ok = None

    def run_s(self, board):
        return self.seconds(board) if callable(self.seconds) else self.seconds


class Checker:
    """The rules of PROTOCOL, as written there."""

    def __init__(self, site):
        self.site = site
        self.where = {}  # board -> {(worker, attempt)}
        self.broken = []
        self.starts_seen = collections.Counter()

    def breaks(self, rule, text):
        self.broken.append((rule, text))
        self.site.record("RULE", f"{rule}: {text}")

    def starts(self, worker, task):
        spec, board = task.job.spec, task.board
        self.starts_seen[board] += 1
        here = self.where.setdefault(board, set())
        others = [w.name for w, _ in here if w is not worker]
        if others:
            self.breaks("ran_twice", f"{board} try {task.attempt} starts on {worker.name} while it is on {others}")
        here.add((worker, task.attempt))
        job = task.job
        if job.cancelled_at and time.monotonic() - job.cancelled_at > self.site.workers["cancel_s"]:
            self.breaks("ran_cancelled", f"{board} starts on {worker.name} {time.monotonic() - job.cancelled_at:.1f} s after the cancellation")
        if spec.get("grades") and worker.grade not in spec["grades"]:
            self.breaks("wrong_place", f"{board} on type {worker.grade}")
        if spec.get("yard") and worker.yard != spec["yard"]:
            self.breaks("wrong_place", f"{board} in {worker.yard}")
        if worker.spot and not spec["loaners"]:
            self.breaks("wrong_place", f"{board} on a spot machine")
        yards = collections.Counter()
        for other, machines in self.where.items():
            if other.rpartition("/")[0] == spec["name_id"]:
                for w, _ in machines:
                    yards[w.yard] += 1
        if spec["same_place"] and len(yards) > 1:
            self.breaks("wrong_place", f"{board}: tasks in {dict(yards)}")
        if spec["scatter"] and max(yards.values()) > (spec["boards"] + 1) // 2:
            self.breaks("wrong_place", f"{board}: scattered tasks in {dict(yards)}")
        for name in spec.get("awaits") or []:
            awaited = self.site.jobs[name]
            if len(awaited.results) < awaited.spec["boards"]:
                self.breaks("too_early", f"{board} starts before {name} is done")
        team = next(t for t in self.site.figures["teams"] if t["name"] == spec["crew"])
        for field, limit in (("vcpus", team["cpus_max"]), ("cards", team["gpus_max"])):
            used = sum(
                self.site.jobs[b.rpartition("/")[0]].spec[field] * len(m)
                for b, m in self.where.items()
                if self.site.jobs[b.rpartition("/")[0]].spec["crew"] == spec["crew"]
            )
            if limit and used > limit + 1e-6:
                self.breaks("quota", f"{spec['crew']} uses {used} of {limit} {field}")

    def leaves(self, worker, task):
        self.where.get(task.board, set()).discard((worker, task.attempt))

    async def watch_cancelled(self):
        told = set()
        while True:
            await asyncio.sleep(0.2)
            for board, machines in self.where.items():
                job = self.site.jobs[board.rpartition("/")[0]]
                if machines and job.cancelled_at and board not in told:
                    late = time.monotonic() - job.cancelled_at
                    if late > self.site.workers["cancel_s"]:
                        told.add(board)
                        names = [w.name for w, _ in machines]
                        self.breaks("ran_cancelled", f"{board} is on {names} {late:.1f} s after the cancellation")


class Cloud:
    def __init__(self, site, capacity):
        self.site, self.capacity = site, capacity  # (grade, yard, spot) -> number
        self.hires, self.machines, self.next = {}, {}, 100
        self.server = Server(self.handle)
        self.bucket = Bucket(site.figures["cloud"]["rps"] * 2)
        self.bucket.rate = site.figures["cloud"]["rps"]
        self.outage = False
        self.history = []  # (time, snapshot) for the list that lags
        self.boot_factor = None
        self.boot_s = None

    def snapshot(self):
        self.history.append((time.monotonic(), {n: dict(m) for n, m in self.machines.items()}))
        del self.history[:-400]

    async def handle(self, method, path, query, body):
        await asyncio.sleep(0.08)
        if self.outage:
            return 503, {"error": "trouble"}
        if not self.bucket.take(1):
            return 429, {"error": "rps"}
        if path == "/flavors":
            return 200, {"grades": [
                dict(g, label=name, local_gb=100, yards=self.site.figures["zones"]) for name, g in self.site.grades.items()
            ]}
        if path == "/rentals" and method == "POST":
            return self.rent(body)
        if path == "/rentals/return":
            for name in body["bays"]:
                self.remove(name, "returned")
            return 200, {}
        if path == "/rentals":
            lag = self.site.figures["cloud"]["list_lag_s"] * random.uniform(0.8, 1.5)
            then = time.monotonic() - lag
            listed = {}
            for at, snapshot in self.history:
                if at <= then:
                    listed = snapshot
            names = sorted(n for n in listed if n > query.get("after", ""))
            return 200, {"bays": [
                {"name_id": n, "endpoint": listed[n]["endpoint"], "grade": listed[n]["grade"], "yard": listed[n]["yard"],
                 "loaners": listed[n]["spot"], "stage": listed[n]["stage"], "age_s": max(0.0, then - listed[n]["at"])}
                for n in names], "truncated": False}
        return 400, {}

    def rent(self, body):
        if body["hire"] in self.hires:
            return 200, {"bays": self.hires[body["hire"]]}
        offer = (body["grade"], body["yard"], body["loaners"])
        free = self.capacity.get(offer, 0)
        number = min(free, body["number"], 50)
        if number <= 0:
            return 503, {"error": "no capacity"}
        self.capacity[offer] = free - number
        names = [self.add(*offer) for _ in range(number)]
        self.hires[body["hire"]] = names
        self.site.record("cloud", f"hire {body['hire']}: {names} of {offer}")
        for name in names:
            asyncio.ensure_future(self.boot(name))
        return 200, {"bays": names}

    def add(self, grade, yard, spot):
        name = "host-%06d" % self.next
        self.next += 1
        self.machines[name] = {"grade": grade, "yard": yard, "spot": spot, "stage": "booting", "endpoint": "", "at": time.monotonic()}
        self.snapshot()
        return name

    async def boot(self, name, seconds=None):
        if seconds is None:
            seconds = self.boot_s or self.site.grades[self.machines[name]["grade"]]["ready_s"] * random.uniform(0.6, 1.2)
        await asyncio.sleep(seconds)
        machine = self.machines.get(name)
        if machine is None:
            return
        worker = Worker(self.site, name, machine["grade"], machine["yard"], machine["spot"])
        self.site.bays[name] = worker
        await worker.start()
        machine["stage"], machine["endpoint"] = "running", worker.addr
        self.snapshot()

    def remove(self, name, why):
        machine = self.machines.pop(name, None)
        if machine is None:
            return
        self.capacity[(machine["grade"], machine["yard"], machine["spot"])] = self.capacity.get((machine["grade"], machine["yard"], machine["spot"]), 0) + 1
        worker = self.site.bays.get(name)
        if worker:
            worker.kill(why)
        else:
            self.site.record("cloud", f"{name} {why}")
        self.snapshot()


class Site:
    """Use: `async with Site(folder, SAHKAR, capacity) as site`."""

    def __init__(self, folder, figures, capacity=None, next_limits=None, verbose=False):
        self.folder, self.figures, self.verbose = folder, figures, verbose
        self.workers = figures["workers"]
        self.grades = {
            name: {"vcpus": float(c), "cards": float(g), "ram_gb": float(m), "hourly": p, "spot_price": s, "ready_s": b, "pull_gb_per_s": f}
            for name, (c, g, m, p, s, b, f) in figures["grades"].items()
        }
        self.next_limits = next_limits
        self.began = time.monotonic()
        self.log = open(os.path.join(folder, "record.txt"), "w", buffering=1)
        self.jobs, self.bays = {}, {}
        self.checker = Checker(self)
        self.state = StateService(figures["state"], self.record)
        self.cloud = Cloud(self, capacity if capacity is not None else {
            (g, z, spot): 4 for g in figures["grades"] for z in figures["zones"] for spot in (False, True)})
        self.nodes = ["bay-%d" % n for n in range(3)]
        self.node_zones = dict(zip(self.nodes, figures["node_zones"]))
        self.node_addrs, self.mesh, self.procs, self.unreached = {}, {}, {}, set()
        self.healthy = set()
        self.gangs = collections.defaultdict(dict)
        self.errors = {}

    def record(self, who, text):
        line = f"{time.monotonic() - self.began:8.3f} {who}: {text}"
        self.log.write(line + "\n")
        if self.verbose or who in ("RULE", "trouble"):
            print(line, flush=True)

    def trouble(self, text):
        self.record("trouble", text)

    # --- start and end ---

    async def __aenter__(self):
        try:
            return await self._start()
        except BaseException:
            await self.__aexit__()
            raise

    async def _start(self):
        with open(os.path.join(ROOT, "deploy", "service.toml"), "rb") as file:
            self.run = tomllib.load(file)["run"].split()
        if not os.access(os.path.join(ROOT, self.run[0]), os.X_OK):
            raise RuntimeError(f"{self.run[0]} is not built")
        self.tmp = tempfile.mkdtemp(prefix="review-")
        self.state_addrs = await self.state.start(self.nodes)
        cloud_addr = await self.cloud.server.start()
        import socket
        held = []
        for node in self.nodes:
            pair = []
            for _ in range(2):
                s = socket.socket()
                s.bind(("127.0.0.1", 0))
                held.append(s)
                pair.append("127.0.0.1:%d" % s.getsockname()[1])
            self.node_addrs[node], self.mesh[node] = pair
        for s in held:
            s.close()
        self.mesh_proxies = {}
        for a in self.nodes:
            for b in self.nodes:
                if a != b:
                    self.mesh_proxies[a, b] = Proxy(self.mesh[b])
                    await self.mesh_proxies[a, b].start()
        for node in self.nodes:
            state = {k: self.figures["state"][k] for k in ("rps", "write_rps", "value_kb", "txn_ops")}
            if self.next_limits:
                state["next"] = self.next_limits
            settings = {
                "node": node, "location": self.node_zones[node], "serve_on": self.node_addrs[node], "mesh_addr": self.mesh[node],
                "others": [{"node": o, "location": self.node_zones[o], "addr": self.mesh_proxies[node, o].addr} for o in self.nodes if o != node],
                "external": {"cloud": cloud_addr, "state": self.state_addrs[node]},
                "deployment": {
                    "count": 3, "zones": self.figures["zones"], "teams": self.figures["teams"], "objectives": [],
                    "workers": self.workers, "state": state, "cloud": self.figures["cloud"],
                    "machine_limits": self.figures["machine_limits"], "clock_off_ms": self.figures["clock_off_ms"],
                },
            }
            with open(os.path.join(self.tmp, node + ".json"), "w") as file:
                json.dump(settings, file, indent=1)
        for node in self.nodes:
            self.start_node(node)
        asyncio.ensure_future(self._probe())
        asyncio.ensure_future(self.checker.watch_cancelled())
        until = time.monotonic() + 20
        while len(self.healthy) < 3:
            await asyncio.sleep(0.05)
            if time.monotonic() > until:
                raise RuntimeError("the controllers do not get healthy")
        return self

    def start_node(self, node):
        log = open(os.path.join(self.tmp, node + ".log"), "a")
        env = dict(os.environ, LOG_LEVEL=os.environ.get("CASE_LOG_LEVEL", "info"))
        self.procs[node] = subprocess.Popen(
            [os.path.join(ROOT, self.run[0]), *self.run[1:], os.path.join(self.tmp, node + ".json")],
            stderr=log, stdout=log, stdin=subprocess.DEVNULL, env=env, cwd=ROOT)
        log.close()
        self.record(node, f"started, pid {self.procs[node].pid}")

    def signal(self, node, sig):
        self.trouble(f"{signal.Signals(sig).name} to {node}")
        self.procs[node].send_signal(sig)
        if sig == signal.SIGKILL:
            self.procs[node].wait()

    async def restart(self, node, after=8.0):
        self.signal(node, signal.SIGKILL)
        await asyncio.sleep(after)
        self.start_node(node)

    def ended_by_itself(self):
        return [n for n, p in self.procs.items() if p.poll() not in (None, -signal.SIGKILL)]

    async def __aexit__(self, *_):
        for proc in self.procs.values():
            if proc.poll() is None:
                proc.kill()
                proc.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.tmp)
        elif getattr(self, "tmp", None):
            import shutil
            shutil.rmtree(self.tmp, ignore_errors=True)
        self.log.flush()

    # --- the platform ---

    async def _probe(self):
        clients = {node: Client(self.node_addrs[node]) for node in self.nodes}
        bad = collections.Counter()
        while True:
            for node in self.nodes:
                try:
                    status, _, _ = await clients[node].call("GET", "/up", None, 1)
                except (OSError, TimeoutError):
                    status = 0
                if status == 200:
                    bad[node] = 0
                    self.healthy.add(node)
                else:
                    bad[node] += 1
                    if bad[node] >= 2:
                        self.healthy.discard(node)
            await asyncio.sleep(0.5)

    def reaches(self, worker, node):
        return (worker.name, node) not in self.unreached and node not in self.unreached

    # --- gangs ---

    def gang_check(self, task):
        gang = self.gangs[task.job.spec["name_id"], task.attempt]
        gang[task.board] = task
        waiting = [t for t in gang.values() if t.on_machine and t.stage == "waiting"]
        if len({t.board for t in waiting}) == task.job.spec["boards"]:
            for other in waiting:
                self.owner(other).run(other)

    def owner(self, task):
        return next(w for w in self.bays.values() if task in w.tasks.values())

    def gang_lost(self, task):
        if task.job is None or task.job.spec["cut"] != "gang":
            return
        gang = self.gangs[task.job.spec["name_id"], task.attempt]
        gang.pop(task.board, None)
        if task.cause == "done":
            return
        for other in gang.values():
            if other.stage == "running" and other.peers_at is None:
                other.peers_at = time.monotonic() + self.workers["gang_peer_s"] * random.uniform(0.3, 1)

    def gang_done(self, task):
        gang = self.gangs[task.job.spec["name_id"], task.attempt]
        running = [t for t in gang.values() if t.stage == "running"]
        if len(running) == task.job.spec["boards"]:
            for other in running:
                self.owner(other)._end(other, "done")

    # --- machines ---

    async def add_machine(self, grade, yard, spot=False):
        name = self.cloud.add(grade, yard, spot)
        await self.cloud.boot(name, 0)
        return self.bays[name]

    # --- users ---

    def spec(self, name, **fields):
        spec = {
            "name_id": name, "lot": "dues-sweep", "crew": self.figures["teams"][0]["name"], "cut": "batch", "urgency": "normal",
            "boards": 1, "vcpus": 2.0, "cards": 0.0, "ram_gb": 2.0, "blueprint": "img-01", "pull_gb": 0.1, "grades": None,
            "yard": None, "same_place": False, "scatter": False, "loaners": False, "expect_s": 10.0, "notch_s": 0.0,
            "stow_s": 0.0, "due_s": None}
        spec.update(fields)
        return spec

    async def ask(self, node, method, path, body=None, timeout=5.0):
        """One request of a user to one node. Returns (status, body), or (0, reason) without an answer."""
        client = Client(self.node_addrs[node])
        sent = time.monotonic() - self.began
        try:
            status, answer, _ = await client.call(method, path, body, timeout)
        except (OSError, TimeoutError) as error:
            status, answer = 0, {"error": str(error)}
        client.close()
        self.record("user", f"{method} {path} at {node} (sent {sent:.3f}): {status} {answer}")
        self._check_answer(method, path, body, status, answer, sent + self.began)
        return status, answer

    def _check_answer(self, method, path, body, status, answer, sent):
        name = body["name_id"] if path == "/submissions" and body else path.split("/")[2] if path.count("/") >= 2 else None
        job = self.jobs.get(name)
        now = time.monotonic()
        if job is None:
            if method == "GET" and status == 200:
                self.checker.breaks("invented", name)
            return
        stage = answer.get("stage") if isinstance(answer, dict) else None
        if status in (200, 201):
            if method == "POST" and path == "/submissions" or method == "GET":
                if job.accepted_at is None:
                    job.accepted_at = now
            job.last_ok = now
            if stage == "done":
                if job.done_at is None:
                    job.done_at = now
                    if len(job.results) < job.spec["boards"]:
                        self.checker.breaks("not_done", f"{name}: {len(job.results)} of {job.spec['boards']}")
                if job.cancelled_at:
                    self.checker.breaks("went_back", f"{name}: done after aborted")
            elif stage == "aborted":
                if not self.may_be_cancelled(name):
                    self.checker.breaks("went_back", f"{name}: aborted, and nobody cancelled it")
                if job.done_at:
                    self.checker.breaks("went_back", f"{name}: aborted after done")
                if job.cancelled_at is None:
                    job.cancelled_at = now
            elif stage:
                if (job.done_at and job.done_at < sent) or (job.cancelled_at and job.cancelled_at < sent):
                    self.checker.breaks("went_back", f"{name}: {stage} after it was over")
        elif job.accepted_at and job.accepted_at < sent:
            if method == "GET" and status == 404:
                self.checker.breaks("forgotten", f"{name} gets 404")
            if method == "POST" and path == "/submissions" and status in (400, 422):
                self.checker.breaks("forgotten", f"{name}: a repeated submission gets {status}")

    def may_be_cancelled(self, name):
        """Whether its user asked to cancel a job, or a job that it needs, directly or through others."""
        job = self.jobs[name]
        return job.cancel_asked or any(self.may_be_cancelled(other) for other in job.spec.get("awaits") or [])

    async def submit(self, spec, seconds=10.0, node=None, limit=60.0):
        """Submits a job as PROTOCOL says of users. Returns the status."""
        self.jobs.setdefault(spec["name_id"], Job(spec, seconds))
        until = time.monotonic() + limit
        status = 0
        while time.monotonic() < until:
            at = node or random.choice(sorted(self.healthy) or self.nodes)
            status, _ = await self.ask(at, "POST", "/submissions", spec)
            if status in (200, 201, 400, 422):
                break
            await asyncio.sleep(1)
        return status

    async def cancel(self, name, node=None, limit=60.0):
        self.jobs[name].cancel_asked = True
        until = time.monotonic() + limit
        while time.monotonic() < until:
            at = node or random.choice(sorted(self.healthy) or self.nodes)
            status, answer = await self.ask(at, "POST", f"/submissions/{name}/withdraw", {})
            if status == 200:
                return answer.get("stage")
            await asyncio.sleep(1)
        return None

    async def poll(self, name, node=None):
        at = node or random.choice(sorted(self.healthy) or self.nodes)
        return await self.ask(at, "GET", f"/submissions/{name}", None, 2.0)

    async def wait_for(self, what, limit):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if what():
                return True
            await asyncio.sleep(0.05)
        return False

    def on_machines(self, name):
        """(board, worker, attempt) of the tasks of a job that are on machines."""
        return [(b, w, a) for b, ws in self.checker.where.items() if b.rpartition("/")[0] == name for w, a in ws]


def main(folder, case, limit=115.0):
    """Runs a case: `case(folder, trouble)` is a coroutine that returns the rules that were broken as a list of texts.
    Exit code 1: a rule was broken, 0: it held, 2: the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    def leave(code):
        sys.stdout.flush()
        os._exit(code)

    async def run():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda *_: None)  # connections that end with the case
        for number in (signal.SIGTERM, signal.SIGINT):  # whoever ends the script ends its controllers
            loop.add_signal_handler(number, asyncio.current_task().cancel)
        try:
            broken = await asyncio.wait_for(case(folder, trouble), limit)
        except BaseException as error:  # whatever it is: the case could not run
            traceback.print_exc()
            print("could not run:", repr(error))
            leave(2)
        for text in broken:
            print("BROKEN", text)
        leave(1 if broken else 0)

    asyncio.run(run())
