"""Stand-in for the users' platform, its runners and requesters.

The cases in review/11 and up import it. It keeps to PROTOCOL.md: the store has
versions, conditions and a feed; a runner has one life at a time, a lease on its
own clock, fences, numbered ends, gangs and checkpoints. What the pages leave
open is done as a sound platform, runner or requester would do it. It starts the
daemons with the command of the deploy file and a settings file made from the
template of that file.

The `spec` of a job is a JSON text: {"work_ms": N} for each subtask, or a list
of such objects, one for each step.
"""

import asyncio
import base64
import json
import os
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 10_000
STOP_S = 0.3
GANG_S = 3.0
CHECKPOINT_S = 2.0
RESTORE_S = 0.1
STARTUP_S = 0.2


def now():
    return time.monotonic()


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begin = now()
        self.violations = []

    def write(self, *words):
        line = f"{now() - self.begin:8.3f} " + " ".join(str(w) for w in words)
        self.file.write(line + "\n")
        self.file.flush()

    def violation(self, text):
        self.violations.append(text)
        self.write("RULE BROKEN:", text)


class Http:
    """An HTTP/1.1 server; the handler returns (status, object or None).

    The handler may return None to leave a request without an answer.
    """

    def __init__(self, handler, host="127.0.0.1"):
        self.handler = handler
        self.host = host
        self.port = 0
        self.server = None
        self.writers = set()

    async def open(self):
        for _ in range(100):
            try:
                self.server = await asyncio.start_server(
                    self.serve, self.host, self.port, reuse_address=True
                )
                break
            except OSError:
                await asyncio.sleep(0.05)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.address

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    def close(self):
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                size = int(headers.get("content-length", "0"))
                body = await reader.readexactly(size) if size else b""
                answer = await self.handler(method, target, headers, body)
                if answer is None:
                    await asyncio.sleep(60)
                    return
                status, value = answer
                data = json.dumps(value if value is not None else {}).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def call(address, method, path, headers=None, body=None, limit_s=3.0):
    """One HTTP call on a channel of its own. Returns (status, object) or None."""
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            data = json.dumps(body).encode() if body is not None else b""
            lines = [f"{method} {path} HTTP/1.1", "connection: close"]
            lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
            lines += [
                "content-type: application/json",
                f"content-length: {len(data)}",
            ]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            status = int(head.split(" ")[1])
            match = re.search(r"content-length: *(\d+)", head, re.I)
            size = int(match.group(1)) if match else 0
            text = await reader.readexactly(size) if size else b""
            return status, json.loads(text) if text else {}
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Store:
    """The platform's metadata store in form `table`."""

    def __init__(self):
        self.rows = {}
        self.version = 1
        self.history = []
        self.changed = asyncio.Event()
        self.http = Http(self.handle)

    def reply(self, **more):
        return {"ver": self.version, "now-ms": int(now() * 1000), **more}

    def put(self, table, key, value, part=""):
        self.version += 1
        data = json.dumps(value).encode()
        self.apply(table, part, key, base64.b64encode(data).decode())
        self.wake()

    def remove(self, table, key, part=""):
        self.version += 1
        self.apply(table, part, key, None)
        self.wake()

    def apply(self, table, part, key, value):
        name = (table, part, key)
        if value is None:
            self.rows.pop(name, None)
        else:
            self.rows[name] = (value, self.version)
        self.history.append((self.version, name, value))

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    @staticmethod
    def row(name, value, version):
        table, part, key = name
        return {"table": table, "part": part, "key": key, "value": value,
                "ver": version}

    async def handle(self, method, target, headers, body):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        await asyncio.sleep(0.003)
        if url.path == "/v1/rows-tx":
            return self.transact(json.loads(body))
        if url.path == "/v1/rows-get":
            return self.read(query)
        if url.path == "/v1/rows-feed":
            return await self.feed(query)
        return 404, {}

    def transact(self, body):
        def name(row):
            return row["table"], row.get("part", ""), row["key"]

        entries = body.get("expected-rev", []) + body.get("puts", [])
        entries += body.get("remove", [])
        if len({name(r)[1] for r in entries}) > 1 and not body.get("cross"):
            return 400, {"error": "several parts"}
        found, holds = [], True
        for row in body.get("expected-rev", []):
            value, version = self.rows.get(name(row), ("", 0))
            holds = holds and version == row["ver"]
            found.append(self.row(name(row), value, version))
        if not holds:
            return 412, self.reply(rows=found)
        self.version += 1
        for row in body.get("puts", []):
            self.apply(*name(row), row["value"])
        for row in body.get("remove", []):
            self.apply(*name(row), None)
        self.wake()
        return 200, self.reply()

    def read(self, query):
        table, part = query["table"], query.get("part", "")
        first, end = query.get("from", ""), query.get("to", "")
        limit = min(int(query.get("limit", 500)), 500)
        names = sorted(
            n for n in self.rows
            if n[0] == table and n[1] == part and n[2] >= first
            and (not end or n[2] < end)
        )
        rows = [self.row(n, *self.rows[n]) for n in names[:limit]]
        return 200, self.reply(rows=rows, **{"has-more": len(names) > limit})

    async def feed(self, query):
        after = int(query["after"])
        end = now() + min(int(query.get("wait-ms", 0)), 30_000) / 1000
        while True:
            rows = []
            for version, name, value in reversed(self.history):
                if version <= after:
                    break
                if name[0] == query["table"]:
                    row = self.row(name, value or "", version)
                    if value is None:
                        row["tombstone"] = True
                    rows.append(row)
            if rows or now() >= end:
                return 200, self.reply(rows=rows[::-1])
            try:
                await asyncio.wait_for(self.changed.wait(), end - now())
            except TimeoutError:
                pass


class Run:
    def __init__(self, task, run, checkpoint):
        self.task = task
        self.run = run
        self.started = now()
        self.working_since = None
        self.done_before_s = 0.0
        self.stop_at = None
        self.checkpoint = checkpoint
        self.saved_s = 0.0


class Runner:
    """A runner's machine; `life` counts its boots."""

    def __init__(self, fleet, number, rack, gpu=8, cpu=64_000, mem_mb=262_144,
                 labels=("a",), zone="rennes"):
        self.fleet = fleet
        self.number = number
        self.rack = rack
        self.room = {"cpu": cpu, "mem-mb": mem_mb, "gpu": gpu}
        self.labels = list(labels)
        self.zone = zone
        self.http = Http(self.handle)
        self.life = 0
        self.up = False
        self.id = ""

    async def boot(self):
        """Starts the next life, under a new id at the same address."""
        self.life += 1
        self.id = f"w{self.number}-{self.life}"
        self.born = int(time.time() * 1000)
        self.clock_zero = now()
        self.lease = 0.0
        self.fence = 0
        self.runs = {}
        self.ends = []
        self.last_end = 0
        self.highest_ended = {}
        self.draining_until = None
        self.beat_at = 0.0
        self.news = asyncio.Event()
        await self.http.open()
        self.up = True
        self.fleet.record.write("runner", self.id, "is up")
        self.beat()

    def crash(self):
        """The process ends; nothing tells anyone. Its row goes later."""
        if not self.up:
            return
        self.up = False
        lost = [f"{r.task}#{r.run}" for r in self.runs.values()]
        self.fleet.record.write("runner", self.id, "crashes with", lost)
        self.runs = {}
        self.http.close()
        row, silence = self.id, 3 * HEARTBEAT_S
        asyncio.get_running_loop().call_later(
            silence, lambda: self.fleet.store.remove("servers", row))

    def drain(self, seconds):
        """Reports `draining` and leaves after some time."""
        self.draining_until = now() + seconds
        self.fleet.record.write("runner", self.id, "reports draining")
        self.beat()

    def clock_ms(self):
        return int((now() - self.clock_zero) * 1000) + 1

    def beat(self):
        self.beat_at = now()
        row = {
            "service": self.fleet.service, "address": self.http.address,
            "zone": self.zone, "version": "v1", "capacity": 8,
            "state": "draining" if self.draining_until else "ready",
            "warmup-left-ms": 0, "sequence": self.clock_ms(),
            "born": self.born, "clock-ms": self.clock_ms(),
            "room": self.room, "labels": self.labels + [self.rack],
            "machine": f"m{self.number}",
        }
        if self.draining_until:
            row["remaining-ms"] = max(
                1, int((self.draining_until - now()) * 1000))
        self.fleet.store.put("servers", self.id, row)

    async def handle(self, method, target, headers, body):
        if not self.up:
            return None
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, {}
        body = json.loads(body)
        if body.get("fence", 0) < self.fence:
            return 409, {"clock-ms": self.clock_ms(), "reason": "fence"}
        self.fence = body.get("fence", 0)
        if target == "/v1/run-start":
            return self.start(body)
        if target == "/v1/run-stop":
            return self.stop(body)
        if target == "/v1/hold":
            return await self.hold(body)
        return 404, {}

    def extend(self, body):
        until = self.clock_zero + body.get("until-ms", 0) / 1000
        limit = now() + HOLD_MAX_MS / 1000
        self.lease = max(self.lease, min(until, limit))

    def start(self, body):
        self.extend(body)
        task, number = body["task"], body["run"]
        reply = {"clock-ms": self.clock_ms()}
        present = self.runs.get(task)
        if present is not None and present.run == number:
            return 200, reply
        if number <= self.highest_ended.get(task, 0):
            return 409, {**reply, "reason": "old"}
        if self.lease <= now():
            return 409, {**reply, "reason": "late"}
        run = Run(task, number, body.get("checkpoint", ""))
        run.saved_s = self.fleet.saved_seconds(task, run.checkpoint)
        run.done_before_s = run.saved_s
        self.runs[task] = run
        self.fleet.on_start(self, run, body)
        return 200, reply

    def stop(self, body):
        task, number = body["task"], body["run"]
        self.highest_ended[task] = max(
            number, self.highest_ended.get(task, 0))
        run = self.runs.get(task)
        if run is not None and run.run == number and run.stop_at is None:
            run.stop_at = now() + STOP_S
            self.fleet.record.write("stop", f"{task}#{number}", "on", self.id)
        return 200, {"clock-ms": self.clock_ms()}

    async def hold(self, body):
        self.extend(body)
        acked = body.get("acked-upto", 0)
        for end in self.ends:
            if end[0] <= acked:
                self.fleet.on_noted(self, end)
        self.ends = [e for e in self.ends if e[0] > acked]
        deadline = now() + min(body.get("wait-ms", 0), 2_000) / 1000
        while not self.ends and now() < deadline:
            try:
                await asyncio.wait_for(self.news.wait(), deadline - now())
            except TimeoutError:
                pass
        running = [
            [r.task, r.run, r.checkpoint, self.fleet.percent(r), 0]
            for r in self.runs.values()
        ]
        return 200, {"clock-ms": self.clock_ms(), "born": self.born,
                     "running": running, "finished": self.ends[:500]}

    def end(self, run, how):
        del self.runs[run.task]
        self.highest_ended[run.task] = max(
            run.run, self.highest_ended.get(run.task, 0))
        self.last_end += 1
        self.ends.append(
            [self.last_end, run.task, run.run, how, run.checkpoint])
        self.fleet.on_end(self, run, how)
        self.news.set()
        self.news = asyncio.Event()


class Fleet:
    """Store, runners and what the jobs on them are."""

    def __init__(self, record, service="epreuves"):
        self.record = record
        self.store = Store()
        self.service = service
        self.runners = []
        self.jobs = {}
        self.checkpoints = {}
        self.starts = []
        self.ends = []
        self.noted = set()

    # What a case may override.
    def on_start(self, runner, run, body):
        self.starts.append((now(), run.task, run.run, runner.id))
        self.record.write("start", f"{run.task}#{run.run}", "on", runner.id,
                          "epoch", body.get("fence", 0))

    def on_end(self, runner, run, how):
        self.ends.append((now(), run.task, run.run, how, runner.id))
        self.record.write("end", f"{run.task}#{run.run}", how, "on", runner.id)

    def on_noted(self, runner, end):
        self.noted.add((end[1], end[2]))

    def step_of(self, task):
        job, _, step, _ = task.rsplit(".", 3)
        return self.jobs[job]["steps"][int(step)]

    def work_s(self, task):
        job, _, step, _ = task.rsplit(".", 3)
        spec = json.loads(self.jobs[job]["spec"])
        if isinstance(spec, list):
            spec = spec[int(step)]
        return spec["work_ms"] / 1000

    def saved_seconds(self, task, checkpoint):
        return self.checkpoints.get(checkpoint, 0.0) if checkpoint else 0.0

    def worked_s(self, run):
        if run.working_since is None:
            return run.done_before_s
        return run.done_before_s + max(0.0, now() - run.working_since)

    def percent(self, run):
        if self.step_of(run.task).get("long-running"):
            return 100 if now() - run.started > STARTUP_S else 0
        share = self.worked_s(run) / max(0.001, self.work_s(run.task))
        return min(100, int(100 * share))

    def save(self, run):
        if self.step_of(run.task).get("checkpointing"):
            run.saved_s = self.worked_s(run)
            run.checkpoint = f"{len(self.checkpoints) + 1:016x}"
            self.checkpoints[run.checkpoint] = run.saved_s

    def members(self, run):
        """All present runs of a gang, with their runners."""
        step = run.task.rsplit(".", 1)[0]
        return [
            (w, r) for w in self.runners if w.up for r in w.runs.values()
            if r.run == run.run and r.task.rsplit(".", 1)[0] == step
        ]

    def tick(self):
        for runner in self.runners:
            if not runner.up:
                continue
            if now() - runner.beat_at >= HEARTBEAT_S:
                runner.beat()
            for run in list(runner.runs.values()):
                if runner.runs.get(run.task) is run:
                    self.advance(runner, run)
            if runner.draining_until and now() >= runner.draining_until:
                runner.up = False
                runner.runs = {}
                runner.http.close()
                self.store.remove("servers", runner.id)
                self.record.write("runner", runner.id, "has left")

    def advance(self, runner, run):
        step = self.step_of(run.task)
        gang = step.get("gang", False)
        whole = not gang or len(self.members(run)) == step["count"]
        if run.working_since is None and whole:
            delay = RESTORE_S if run.checkpoint else 0.0
            run.working_since = now() + delay
        how = None
        if now() >= runner.lease:
            how = "lapsed"
        elif run.stop_at is not None and now() >= run.stop_at:
            self.save(run)
            how = "stopped"
        elif gang and run.working_since is None:
            how = "alone" if now() - run.started > GANG_S else None
        elif gang and not whole:
            how = "broken"
        elif (not step.get("long-running")
              and self.worked_s(run) >= self.work_s(run.task)):
            how = "done"
        if how is None:
            if self.worked_s(run) - run.saved_s >= CHECKPOINT_S:
                self.save(run)
            return
        members = self.members(run) if gang else [(runner, run)]
        for other, member in members:
            if member is run or how == "done":
                other.end(member, how)
            elif member.working_since is not None:
                other.end(member, "broken")

    async def play(self):
        while True:
            self.tick()
            await asyncio.sleep(0.01)


def fill_template(fields):
    """Fills the parts of the deploy file's template that a daemon uses here."""
    with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
        role = next(iter(tomllib.load(file)["roles"].values()))
    with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
        text = file.read()

    def look_up(name):
        value = fields
        for word in name.split("."):
            value = value.get(word) if isinstance(value, dict) else None
        return value

    def section(match):
        value = look_up(match.group(1))
        if value is None:
            return ""
        return match.group(2).replace("{{.}}", str(value))

    text = re.sub(r"\{\{#([^}]+)\}\}\n(.*?)\{\{/\1\}\}\n?", section, text,
                  flags=re.S)
    text = re.sub(r"\{\{([^}]+)\}\}", lambda m: str(look_up(m.group(1))), text)
    return role["run"].split(" "), text


def free_host(number):
    """A loopback address that few other processes share."""
    pid = os.getpid()
    return f"127.{pid // 254 % 254 + 1}.{pid % 254 + 1}.{number + 1}"


def free_port(host):
    with socket.socket() as it:
        it.bind((host, 0))
        return it.getsockname()[1]


class Daemon:
    def __init__(self, number, store_address, folder, hold_max_ms=HOLD_MAX_MS,
                 zone="rennes"):
        self.name = f"client_facing-{zone}-{number + 1}"
        self.folder = folder
        host = free_host(number)
        self.address = f"{host}:{free_port(host)}"
        self.readiness = f"{host}:{free_port(host)}"
        command, text = fill_template({
            "node-name": self.name, "region": "bretagne", "zone": zone,
            "ip": host, "heartbeat-ms": int(HEARTBEAT_S * 1000),
            "listen-addrs": {"frontend": self.address,
                             "readiness": self.readiness},
            "limits": {"cpu-share": 0.25, "link-mbps": 1000.0,
                       "memory-mb": 260},
            "platform": {"address": store_address, "row-bytes": 65536},
            "bounds": {"hold-max-ms": hold_max_ms},
        })
        path = os.path.join(folder, self.name + ".toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        self.command = [
            os.path.join(ROOT, command[0]),
            *[path if w.startswith("/etc/") else w for w in command[1:]],
        ]
        self.process = None

    async def start(self):
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *self.command, cwd=ROOT, stdout=log, stderr=log)
        log.close()

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def is_ready(self):
        answer = await call(self.readiness, "GET", "/v1/readyz", limit_s=1.0)
        return answer is not None and answer[0] == 200


class Client:
    """A requester: tries again, at another node, as the pages say."""

    def __init__(self, record, daemons, host="nony24.example",
                 key="key-acme"):
        self.record = record
        self.daemons = daemons
        self.host = host
        self.key = key
        self.next = 0

    def node(self):
        self.next += 1
        return self.daemons[self.next % len(self.daemons)].address

    async def request(self, method, path, body=None, tries=5):
        """Returns the last answer, or None after tries without one."""
        answer = None
        for _ in range(tries):
            answer = await call(
                self.node(), method, path,
                {"host": self.host, "authorization": f"Bearer {self.key}",
                 "x-deadline-ms": "3000"}, body)
            if answer is not None and answer[0] not in (502, 503, 504):
                break
            await asyncio.sleep(0.3)
        return answer

    async def submit(self, prefix, job, body):
        answer = await self.request("POST", prefix + job, body)
        self.record.write("POST", prefix + job, "->", answer and answer[0])
        return answer is not None and 200 <= answer[0] < 300

    async def state(self, prefix, job):
        answer = await self.request("GET", prefix + job)
        if answer is None:
            return "no answer"
        return answer[1].get("state", str(answer[0]))


def manifest(routes, service, version=2, guaranteed=0):
    """routes: name, prefix, priority, attempts."""
    return {
        "version": version,
        "routes": [
            {"name": n, "host": "nony24.example", "prefix": p,
             "service": service, "priority": pr, "attempts": a,
             "slack-factor": 3.0, "target-latency-ms": 1000}
            for n, p, pr, a in routes
        ],
        "services": [{"name": service}],
        "limits": {"max-body-bytes": 262144},
        "tenants": [{"name": "acme", "api-keys": ["key-acme"],
                     "guaranteed": {"gpu": guaranteed}}],
    }


async def wait_for(what, limit_s):
    end = now() + limit_s
    while now() < end:
        if await what():
            return True
        await asyncio.sleep(0.1)
    return False


class CannotRun(Exception):
    pass


def main(folder, play, runners, routes, daemons=3, fleet_type=Fleet,
         guaranteed=0, limit_s=115):
    """Runs a case and returns its exit status."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("disruption:", "yes" if trouble else "no")

    async def run():
        # The daemons are ended, too, if the script is told to end early.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel)
        with tempfile.TemporaryDirectory() as temporary:
            fleet = fleet_type(record)
            started = []
            try:
                await fleet.store.http.open()
                fleet.store.put("op", "config",
                                manifest(routes, fleet.service,
                                         guaranteed=guaranteed))
                for number, options in enumerate(runners):
                    runner = Runner(fleet, number, **options)
                    fleet.runners.append(runner)
                    await runner.boot()
                player = asyncio.create_task(fleet.play())
                for number in range(daemons):
                    daemon = Daemon(number, fleet.store.http.address,
                                    temporary)
                    started.append(daemon)
                    await daemon.start()
                for daemon in started:
                    if not await wait_for(daemon.is_ready, 15):
                        raise CannotRun(daemon.name + " isn't ready")
                client = Client(record, started)
                async with asyncio.timeout(limit_s):
                    await play(fleet, started, client, record, trouble)
                if player.done():
                    player.result()
            finally:
                for daemon in started:
                    await daemon.end()
                if os.environ.get("KEEP_LOGS"):
                    os.system(f"cp {temporary}/*.log {os.environ['KEEP_LOGS']}")

    try:
        asyncio.run(run())
    except (CannotRun, OSError, TimeoutError, KeyError,
            asyncio.CancelledError) as error:
        record.write("the case could not run:", repr(error))
        print("could not run:", repr(error))
        return 2
    for text in record.violations:
        print("rule broken:", text)
    if not record.violations:
        print("the rule held")
    return 1 if record.violations else 0
