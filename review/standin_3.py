"""Stand-ins of the platform for the scripts of the third review.

They follow PROTOCOL.md: the log service with its keyed topics, minions that take their
orders by invocation, and clients. The system's own processes are started with the
command of the deploy file. All addresses are loopback addresses.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qsl

ROOT = Path(__file__).resolve().parent.parent
NETWORK = f"127.{random.randint(30, 220)}.{random.randint(1, 250)}"
SERVICE, TENANT, KEY = "planer", "office", "key-of-office"
HEARTBEAT_S = 1.5
MAX_HOLD_MS = 6000
STOP_S = 0.2
STARTUP_S = 0.3
GANG_S = 3.0

Reply = tuple[int, object]
Handler = Callable[[str, str, dict[str, str], dict[str, str], bytes], Awaitable[Reply]]


def now() -> float:
    """Return the steady time of the machine in seconds."""
    return time.monotonic()


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began_at = now()

    def __call__(self, text: str) -> None:
        """Write one line."""
        line = f"{now() - self._began_at:8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()


class Server:
    """HTTP/1.1 server on one loopback address; a reply is a status and a body."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.address = ""

    async def start(self, ip: str = "127.0.0.1", port: int = 0) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, ip, port, limit=2**24)
        host, bound = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{bound}"

    def kill(self) -> None:
        """Refuse new connections and reset the open ones, as after a crash."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                first, *lines = head.split("\r\n")
                method, target, _ = first.split(" ", 2)
                pairs = (line.split(":", 1) for line in lines if ":" in line)
                headers = {name.lower(): value.strip() for name, value in pairs}
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                path, _, query = target.partition("?")
                values = dict(parse_qsl(query))
                status, answer = await self._handler(
                    method, path, values, headers, body
                )
                raw = answer if isinstance(answer, bytes) else json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} -\r\nContent-Length: {len(raw)}\r\n\r\n".encode()
                    + raw
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


@dataclass
class _Partition:
    records: list[tuple[bytes, bytes]] = field(default_factory=list)
    epochs: dict[str, int] = field(default_factory=dict)
    answers: dict[str, dict[int, Reply]] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)


class Store:
    """The platform's log service, with one partition a topic."""

    def __init__(self) -> None:
        self._topics: dict[str, _Partition] = {}
        self.server = Server(self._handle)

    def _topic(self, name: str) -> _Partition:
        return self._topics.setdefault(name, _Partition())

    def put(self, topic: str, key: str, value: object) -> None:
        """Write a record as the operator or a minion does; None deletes the key."""
        raw = b"" if value is None else json.dumps(value).encode()
        self._add(self._topic(topic), [(key.encode(), raw)])

    def last(self, topic: str) -> dict[str, object] | None:
        """Return the newest record of a topic."""
        records = self._topic(topic).records
        return json.loads(records[-1][1]) if records and records[-1][1] else None

    def _add(self, held: _Partition, records: list[tuple[bytes, bytes]]) -> Reply:
        offset = len(held.records)
        held.records += records
        changed, held.changed = held.changed, asyncio.Event()
        changed.set()
        return 200, {"offset": offset, "end": len(held.records)}

    async def _handle(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        headers: dict[str, str],
        body: bytes,
    ) -> Reply:
        held = self._topic(query.get("topic", ""))
        await asyncio.sleep(0.004)
        if path == "/-/log-append":
            return self._append(held, query, body)
        if path == "/-/log-read":
            start, wait_s = int(query["from"]), int(query.get("waitMs", 0)) / 1000
            if start >= len(held.records) and wait_s:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(held.changed.wait(), wait_s)
            most = int(query.get("maxKb", 1024)) * 1024
            out = struct.pack(">QQ", len(held.records), 0)
            for key, value in held.records[start:]:
                raw = bytes([len(key)]) + key + value
                if len(out) > 16 and len(out) + len(raw) + 4 > most:
                    break
                out += struct.pack(">I", len(raw)) + raw
            return 200, out
        if path == "/-/log-newest":
            newest = {k: (v, n) for n, (k, v) in enumerate(held.records)}
            after = query.get("after", "").encode()
            kept = [k for k in sorted(newest) if newest[k][0] and k > after]
            items = [
                {
                    "key": key.decode(),
                    "value": base64.b64encode(newest[key][0]).decode(),
                    "offset": newest[key][1],
                }
                for key in kept[:500]
            ]
            end = len(held.records)
            return 200, {"items": items, "hasMore": len(kept) > 500, "end": end}
        return 404, {}

    def _append(self, held: _Partition, query: dict[str, str], body: bytes) -> Reply:
        records, place = [], 0
        while place + 5 <= len(body):
            length, size = struct.unpack_from(">IB", body, place)
            content = body[place + 5 : place + 4 + length]
            records.append((content[:size], content[size:]))
            place += 4 + length
        if "at" in query and int(query["at"]) != len(held.records):
            return 412, {"end": len(held.records)}
        name = query.get("producer")
        if name is None:
            return self._add(held, records)
        epoch, known = int(query["epoch"]), held.epochs.get(name, -1)
        if epoch < known:
            return 409, {"reason": "fenced"}
        if epoch > known:
            held.epochs[name], held.answers[name] = epoch, {}
        answers = held.answers[name]
        if not records:
            return 200, {"offset": len(held.records), "end": len(held.records)}
        sequence = int(query["sequence"])
        if sequence in answers:
            return answers[sequence]
        if answers and sequence != max(answers) + 1:
            return 409, {"reason": "seq", "sequence": max(answers) + 1}
        answers[sequence] = self._add(held, records)
        answers.pop(sequence - 5, None)
        return answers[sequence]


@dataclass(eq=False)
class Run:
    """A run on a minion; ``ends_at`` is None for a task that lasts."""

    task: str
    number: int
    began_at: float
    cpu: int
    lasts: bool
    timer: asyncio.TimerHandle | None = None
    stopping: bool = False


class Minion:
    """A minion of one life; it reports starts and ends to the world."""

    def __init__(self, world: World, minion_id: str, rack: str) -> None:
        self._world = world
        self.minion_id, self.rack = minion_id, rack
        self.born = time.time_ns() // 1_000_000
        self._born_at = now()
        self.server = Server(self._handle)
        self.up = True
        self.token = 0
        self._lease_ms = 0
        self._lease_timer: asyncio.TimerHandle | None = None
        self.runs: dict[tuple[str, int], Run] = {}
        self._ended: list[list[object]] = []
        self._count = 0
        self._highest: dict[str, int] = {}
        self._news = asyncio.Event()
        self._sequence = 0

    @property
    def free(self) -> int:
        """Return the free part of the minion's cores, in thousandths."""
        return self._world.minion_cpu - sum(run.cpu for run in self.runs.values())

    def clock_ms(self) -> int:
        """Return the time on the minion's clock."""
        return 500_000 + int((now() - self._born_at) * 1000)

    def register(self, state: str = "ready") -> None:
        """Write the minion's entry, as it does at each heartbeat."""
        self._sequence += 1
        entry = {
            "service": SERVICE,
            "address": self.server.address,
            "zone": "z1",
            "version": "1",
            "slots": 8,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": self._sequence,
            "born": self.born,
            "capacity": {"cpu": self._world.minion_cpu, "requestedMemoryMb": 256_000},
            "labels": ["a", self.rack],
        }
        self._world.store.put("keyed.servers", self.minion_id, entry)

    def crash(self) -> None:
        """End this life: nothing of it runs on, and its address refuses connections."""
        self.up = False
        self.server.kill()
        if self._lease_timer is not None:
            self._lease_timer.cancel()
        for run in list(self.runs.values()):
            if run.timer is not None:
                run.timer.cancel()
            self._world.on_end(self, run, "gone")
        self.runs.clear()

    async def _handle(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        headers: dict[str, str],
        body: bytes,
    ) -> Reply:
        if headers.get("expected-instance", self.minion_id) != self.minion_id:
            return 421, {}
        order = json.loads(body)
        token = order.get("fencingToken", 0)
        if token < self.token:
            return 409, {"clockMs": self.clock_ms(), "reason": "fence"}
        self.token = token
        if path == "/-/run-start":
            reason = self._start(order)
            if reason:
                return 409, {"clockMs": self.clock_ms(), "reason": reason}
            return 200, {"clockMs": self.clock_ms()}
        if path == "/-/run-stop":
            self._stop(order["task"], order["run"])
            return 200, {"clockMs": self.clock_ms()}
        if path == "/-/hold":
            return await self._hold(order)
        return 404, {}

    async def _hold(self, order: dict[str, int]) -> Reply:
        cursor = order.get("ackCursor", 0)
        self._ended = [end for end in self._ended if end[0] > cursor]  # type: ignore[operator]
        if "untilMs" in order:
            self._extend(order["untilMs"])
        if order.get("waitMs") and not self._ended:
            self._news.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._news.wait(), order["waitMs"] / 1000)
        running = [
            [run.task, run.number, "", self._percent(run), 0]
            for run in self.runs.values()
        ]
        answer = {"clockMs": self.clock_ms(), "born": self.born, "running": running}
        return 200, {**answer, "finished": self._ended[:500]}

    def _percent(self, run: Run) -> int:
        worked_s = now() - run.began_at
        if run.lasts:
            return 100 if worked_s >= STARTUP_S else 0
        run_s = self._world.run_s(run.task)
        return min(99, int(100 * worked_s / run_s))

    def _extend(self, until_ms: int) -> None:
        until_ms = min(until_ms, self.clock_ms() + MAX_HOLD_MS)
        if until_ms <= self._lease_ms:
            return
        self._lease_ms = until_ms
        if self._lease_timer is not None:
            self._lease_timer.cancel()
        left_s = (until_ms - self.clock_ms()) / 1000
        loop = asyncio.get_running_loop()
        self._lease_timer = loop.call_later(left_s, self._lapse)

    def _lapse(self) -> None:
        for run in list(self.runs.values()):
            self.end(run, "lapsed")

    def _start(self, order: dict[str, object]) -> str:
        task, number = str(order["task"]), int(order["run"])  # type: ignore[call-overload]
        until_ms = int(order["untilMs"])  # type: ignore[call-overload]
        if (task, number) in self.runs:
            return ""
        if until_ms <= self.clock_ms():
            return "late"
        self._extend(until_ms)
        if number <= self._highest.get(task, 0):
            return "old"
        step = self._world.step_of(task)
        run = Run(task, number, now(), step["cpu"], bool(step.get("longRunning")))
        self.runs[task, number] = run
        if not run.lasts:
            loop = asyncio.get_running_loop()
            run.timer = loop.call_later(self._world.run_s(task), self.end, run, "done")
        self._world.on_start(self, run, str(order["specification"]))
        return ""

    def _stop(self, task: str, number: int) -> None:
        self._highest[task] = max(self._highest.get(task, 0), number)
        run = self.runs.get((task, number))
        if run is not None and not run.stopping:
            run.stopping = True
            asyncio.get_running_loop().call_later(STOP_S, self.end, run, "stopped")

    def end(self, run: Run, how: str) -> None:
        """End a run and list its end."""
        if self.runs.pop((run.task, run.number), None) is None:
            return
        if run.timer is not None:
            run.timer.cancel()
        self._highest[run.task] = max(self._highest.get(run.task, 0), run.number)
        self._count += 1
        self._ended.append([self._count, run.task, run.number, how, ""])
        self._news.set()
        self._world.on_end(self, run, how)


SETTINGS = """
nodeName = "{name}"
role = "entry"
machineClass = "frontend"
serves = ["frontend"]
ipAddress = "{ip}"
zone = "z1"
region = "r1"
internalPortRange = [{peer}, {peer}]
heartbeatIntervalMs = 1500
orders = "invocation"
[listenAddresses]
frontendAddr = "{ip}:{front}"
readinessAddr = "{ip}:{ready}"
[platform]
address = "{store}"
form = "log"
recordBytes = 262144
callBytes = 2097152
[bounds]
revocationMs = 5000
maxHoldMs = 6000
gracePeriodS = 6
status_s = 120
[limits]
cpuShare = 1.0
cpuCores = 1
memoryMb = 300
fileDescriptors = 4100
"""


class Vm:
    """A machine of the system and its one process."""

    def __init__(self, world: World, name: str, ip: str, store: str) -> None:
        self._world = world
        self.name, self.ip = name, ip
        ports = [_free_port(ip) for _ in range(3)]
        self.front = f"{ip}:{ports[0]}"
        self._settings = world.directory / f"{name}.toml"
        self._log = world.directory / f"{name}.log"
        self._settings.write_text(
            SETTINGS.format(
                name=name,
                ip=ip,
                front=ports[0],
                ready=ports[1],
                peer=ports[2],
                store=store,
            )
        )
        self.ready = f"{ip}:{ports[1]}"
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        kept = {n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ}
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    **kept,
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "BRIARRUN_SETTINGS": str(self._settings),
                },
            )
        self._world.record(f"{self.name}: started")

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            self._world.record(f"{self.name}: {number.name}")

    async def kill(self) -> None:
        """End the process with SIGKILL."""
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    def log_text(self) -> str:
        """Return what the process has written."""
        return self._log.read_text(errors="replace")


def _free_port(ip: str) -> int:
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return int(probe.getsockname()[1])


class World:
    """The system's processes and everything around them."""

    def __init__(self, folder: Path, minion_cpu: int = 8000) -> None:
        self.record = Record(folder / "record.txt")
        self.directory = Path(tempfile.mkdtemp(prefix="briarrun-review-"))
        self.minion_cpu = minion_cpu
        self.store = Store()
        self.minions: dict[str, Minion] = {}
        self.vms: dict[str, Vm] = {}
        self.jobs: dict[str, dict[str, object]] = {}
        self.running: dict[str, dict[tuple[str, int], Run]] = {}
        self.starts: dict[str, list[float]] = {}
        self.broken: list[str] = []
        self.quiet = False
        self.uneven = 0.0
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self, vms: int, minions: int, routes: list[dict[str, object]]) -> None:
        """Start everything and wait until the system is ready."""
        await self.store.server.start()
        for number in range(minions):
            await self.add_minion(f"i-{number:02d}", f"r{number // 8}")
        for number in range(vms):
            ip = f"{NETWORK}.{number + 1}"
            name = f"vm-{number}"
            self.vms[name] = Vm(self, name, ip, self.store.server.address)
        defaults = {
            "service": SERVICE,
            "hostname": "office.example",
            "timeoutMs": 3000,
            "targetLatencyMs": 1000,
            "maxAttempts": 3,
            "stretch": 2.0,
            "public": False,
        }
        config = {
            "version": 7,
            "routes": [{**defaults, **route} for route in routes],
            "services": [{"name": SERVICE, "admissionCheck": False}],
            "limits": {},
            "tenants": [{"name": TENANT, "apiKeys": [KEY], "weight": 50}],
        }
        self.store.put("keyed.op", "config", config)
        for vm in self.vms.values():
            await vm.start()
        self._tasks.append(asyncio.create_task(self._beat()))
        end_at = now() + 20
        for vm in self.vms.values():
            while await self.call(vm.ready, "GET", "/-/readiness", quiet=True) != 200:
                if now() > end_at:
                    raise RuntimeError(f"{vm.name} is not ready")
                await asyncio.sleep(0.1)
        self.record("all machines are ready")
        await asyncio.sleep(2.0)

    async def add_minion(self, minion_id: str, rack: str) -> Minion:
        """Start a minion."""
        minion = self.minions[minion_id] = Minion(self, minion_id, rack)
        await minion.server.start()
        minion.register()
        return minion

    async def _beat(self) -> None:
        """Renew the entries of minions; one that is silent for three beats is removed."""
        silent: dict[str, int] = {}
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for minion in list(self.minions.values()):
                if minion.up:
                    minion.register()
                    continue
                beats = silent[minion.minion_id] = silent.get(minion.minion_id, 0) + 1
                if beats == 3:
                    self.store.put("keyed.servers", minion.minion_id, None)
                    self.record(f"{minion.minion_id}: entry removed")

    def holder(self) -> Vm:
        """Return the machine that wrote to the store under a condition last."""
        claim = self.store.last("keyed.holder")
        assert claim is not None
        return self.vms[str(claim["vm"])]

    def step_of(self, task: str) -> dict[str, int]:
        """Return the step of a task that a client has sent."""
        job_id, _, step, _ = task.split(".")
        return self.jobs[job_id]["steps"][int(step)]  # type: ignore[index,no-any-return]

    def run_s(self, task: str) -> float:
        """Return how long a task works; its estimate is a rough one."""
        uneven = random.Random(task).uniform(-self.uneven, self.uneven)
        return self.step_of(task)["estimatedMs"] / 1000 * (1 + uneven)

    def on_start(self, minion: Minion, run: Run, payload: str) -> None:
        """Note a start, and check what every start must keep."""
        job = self.jobs.get(run.task.split(".")[0])
        if job is None or job["specification"] != payload:
            self.broken.append(f"UNASKED: {run.task} was not sent like this")
        others = self.running.setdefault(run.task, {})
        if others:
            self.broken.append(f"TWICE: {run.task} runs on {list(others)}")
        if minion.free < 0:
            self.broken.append(f"LIMIT: {minion.minion_id} is over its capacity")
        others[minion.minion_id, run.number] = run
        self.starts.setdefault(run.task, []).append(now())
        if not self.quiet or run.lasts:
            self.record(f"{minion.minion_id}: {run.task} run {run.number} starts")

    def on_end(self, minion: Minion, run: Run, how: str) -> None:
        """Note an end."""
        self.running.get(run.task, {}).pop((minion.minion_id, run.number), None)
        if not self.quiet or run.lasts:
            self.record(f"{minion.minion_id}: {run.task} run {run.number} ends {how}")

    async def call(
        self,
        address: str,
        method: str,
        target: str,
        body: object = None,
        *,
        timeout_s: float = 3.0,
        quiet: bool = False,
    ) -> int | None:
        """Send a client's request; return the status, None without an answer."""
        status, _ = await self.ask(
            address, method, target, body, timeout_s=timeout_s, quiet=quiet
        )
        return status

    async def ask(
        self,
        address: str,
        method: str,
        target: str,
        body: object = None,
        *,
        timeout_s: float = 3.0,
        quiet: bool = False,
    ) -> tuple[int | None, dict[str, object]]:
        """Send a client's request; return the status and the body."""
        raw = b"" if body is None else json.dumps(body).encode()
        head = (
            f"{method} {target} HTTP/1.1\r\nHost: office.example\r\n"
            f"Authorization: Bearer {KEY}\r\nContent-Type: application/json\r\n"
            f"Request-Deadline: {int(timeout_s * 1000)}\r\n"
            f"Content-Length: {len(raw)}\r\nConnection: close\r\n\r\n"
        )
        status, answer = None, {}
        try:
            async with asyncio.timeout(timeout_s):
                host, _, port = address.rpartition(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    writer.write(head.encode() + raw)
                    answered = await reader.read()
                finally:
                    writer.transport.abort()
            first, _, rest = answered.partition(b"\r\n")
            status = int(first.split(b" ")[1])
            content = rest.partition(b"\r\n\r\n")[2]
            answer = json.loads(content) if content else {}
        except (OSError, TimeoutError, ValueError, IndexError):
            pass
        if not quiet:
            self.record(f"{method} {target} at {address}: {status} {answer}")
        return status, answer

    async def submit(
        self, prefix: str, steps: list[dict[str, object]], *, quiet: bool = False
    ) -> str:
        """Hand a job in until it is accepted; return its id, "" if it was refused."""
        job_id = f"{random.getrandbits(64):016x}"
        job = self.jobs[job_id] = {"specification": f"job {job_id}", "steps": steps}
        for _ in range(5):
            vm = random.choice(list(self.vms.values()))
            status = await self.call(vm.front, "POST", prefix + job_id, job, quiet=quiet)
            if status is not None and 200 <= status < 300:
                return job_id
            await asyncio.sleep(0.5)
        return ""

    async def stop(self) -> None:
        """End every process that was started here."""
        for task in self._tasks:
            task.cancel()
        for vm in self.vms.values():
            vm.send(signal.SIGCONT)
            await vm.kill()
        for minion in self.minions.values():
            minion.server.kill()
        self.store.server.kill()


def run_case(folder: Path, case: Callable[[World, bool], Awaitable[None]], **of: int) -> None:
    """Run a case; exit with 1 if a rule was broken, 0 if it held, 2 if it can't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play() -> int:
        world = World(folder, **of)
        try:
            async with asyncio.timeout(110):
                await case(world, trouble)
        except Exception as error:  # The case says nothing about the rule then.
            world.record(f"the case could not run: {error!r}")
            print(f"the case could not run: {error!r}", file=sys.stderr)
            return 2
        finally:
            await world.stop()
        for text in world.broken:
            world.record(f"BROKEN {text}")
            print(text)
        world.record(f"{len(world.broken)} rules broken; trouble: {trouble}")
        return 1 if world.broken else 0

    sys.exit(asyncio.run(play()))
