"""Stand-ins of the platform's workers."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from standins.http1 import Request, Response, Server
from standins.store import Store

HEARTBEAT_S = 1.5
"""``heartbeatIntervalMs`` of the settings."""

EXPIRY_S = 3 * HEARTBEAT_S
"""Silence after which the store removes an entry."""

MAX_HOLD_MS = 6000
"""``maxHoldMs`` of the settings."""

DRAIN_S = 2.5
"""``drainMs`` of the settings, in seconds: least time from the notice of leaving."""

STOP_S = 0.3
"""Time that a stop takes; at most ``stopTimeoutMs``."""

FIRST_BEAT_S = 0.3
"""Time from the start of a further life, which listens, to its first entry."""

MAX_LISTED_ENDS = 500


@dataclass(eq=False)
class Run:
    """A run on one worker."""

    task: str
    number: int
    began_at: float
    length_s: float | None
    checkpoint: str = ""
    timer: asyncio.TimerHandle | None = None
    stopping: bool = False


@dataclass(eq=False)
class Worker:
    """One life of a worker, with its entry in the store.

    ``late_start_s`` makes the next start order go without an answer; it is carried out
    that much later by whoever then listens at the address.
    """

    name: str
    fleet: Fleet
    zone: str
    rack: str
    cores: int = 16000
    born_ms: int = 0
    server: Server = field(init=False)
    state: str = "ready"
    up: bool = True
    reaches_store: bool = True
    token: int = 0
    lease_ms: int = 0
    clock_from: float = 0.0
    late_start_s: float | None = None
    draining_from: float = 0.0
    runs: dict[tuple[str, int], Run] = field(default_factory=dict)
    ends: list[list] = field(default_factory=list)
    highest: dict[str, int] = field(default_factory=dict)
    count: int = 0
    sequence: int = 0
    last_beat_at: float = 0.0
    news: asyncio.Event = field(default_factory=asyncio.Event)
    lease_timer: asyncio.TimerHandle | None = None

    def __post_init__(self) -> None:
        """Start the clock; nothing listens yet."""
        self.server = Server(self._handle)
        self._begin_life(400.0)

    def _begin_life(self, clock_s: float) -> None:
        self.born_ms = max(self.born_ms + 1, time.time_ns() // 1_000_000)
        self.clock_from = time.monotonic() - clock_s
        self.up = True

    def clock_ms(self) -> int:
        """Return the time on the worker's clock."""
        return int((time.monotonic() - self.clock_from) * 1000)

    async def start(self) -> None:
        """Listen and register."""
        await self.server.start()
        self.beat()

    # Entry in the store

    def beat(self) -> None:
        """Write the entry."""
        self.sequence += 1
        self.last_beat_at = time.monotonic()
        entry = {
            "service": self.fleet.service,
            "address": self.server.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldRemainingMs": 0,
            "capacity": {"cpu": self.cores, "requestedMemoryMb": 65536, "gpus": 0},
            "labels": ["a", self.rack],
            "clockMs": self.clock_ms(),
            "sequence": self.sequence,
            "born": self.born_ms,
        }
        if self.state == "draining":
            gone_s = time.monotonic() - self.draining_from
            entry["remainingMs"] = max(0, int((DRAIN_S - gone_s) * 1000))
        value = json.dumps(entry).encode()
        self.fleet.store.put("keyed.servers", self.name, value)

    def drain(self) -> None:
        """Announce that the worker is going to leave."""
        self.state = "draining"
        self.draining_from = time.monotonic()
        self.beat()

    # Ends of lives

    def crash(self, *, refuses: bool) -> None:
        """End this life; its address refuses connections, or does not answer."""
        self.up = False
        for run in self.runs.values():
            if run.timer is not None:
                run.timer.cancel()
            self.fleet.note(f"{self.name}: run of {run.task} ended by the crash")
        self.runs.clear()
        self.ends.clear()
        self.highest.clear()
        self.token = self.lease_ms = self.count = 0
        if self.lease_timer is not None:
            self.lease_timer.cancel()
        self.news.set()
        if refuses:
            self.server.refuse()

    async def rebirth(self) -> None:
        """Start the next life under the same id and address."""
        self._begin_life(0.5)
        self.state = "ready"
        self.sequence = 0
        self.reaches_store = False
        await self.server.start()
        await asyncio.sleep(FIRST_BEAT_S)
        self.reaches_store = True
        self.beat()

    # Calls

    async def _handle(self, request: Request) -> Response | None:
        if not self.up:
            await asyncio.sleep(30.0)
            return None
        if request.headers.get("expected-instance") not in (None, self.name):
            return self._answer(421)
        body = request.json()
        if request.path == "/-/run-start":
            if self.late_start_s is not None:
                delay_s, self.late_start_s = self.late_start_s, None
                self.fleet.late_at = time.monotonic()
                self.fleet.note(
                    f"{self.name}: the start order of {body['task']} run {body['run']} "
                    f"gets no answer and waits for {delay_s} s"
                )
                asyncio.get_running_loop().call_later(delay_s, self._late, body)
                await asyncio.sleep(30.0)
                return None
            return self._start(body)
        if request.path == "/-/run-stop":
            return self._stop(body)
        if request.path == "/-/hold":
            return await self._hold(body)
        return self._answer(404)

    def _late(self, body: dict) -> None:
        if self.up:
            response = self._start(body)
            self.fleet.note(
                f"{self.name}: {body['task']} run {body['run']} carried out late: "
                f"{response.status} {response.body.decode()}"
            )

    def _answer(self, status: int, **content: object) -> Response:
        return Response.of_json(status, {"clockMs": self.clock_ms(), **content})

    def _fenced(self, body: dict) -> bool:
        token = body.get("fencingToken", 0)
        if token < self.token:
            return True
        self.token = token
        return False

    def _start(self, body: dict) -> Response:
        if self._fenced(body):
            return self._answer(409, reason="fence")
        task, number = body["task"], body["run"]
        if body["untilMs"] <= self.clock_ms():
            return self._answer(409, reason="late")
        self._extend(body["untilMs"])
        if (task, number) in self.runs:
            return self._answer(200)
        if number <= self.highest.get(task, 0):
            return self._answer(409, reason="old")
        run = Run(task, number, time.monotonic(), self.fleet.length_s(task))
        run.checkpoint = body.get("checkpoint", "")
        self.runs[(task, number)] = run
        if run.length_s is not None:
            loop = asyncio.get_running_loop()
            run.timer = loop.call_later(run.length_s, self._end, run, "done")
        self.fleet.on_start(self, run)
        return self._answer(200)

    def _stop(self, body: dict) -> Response:
        if self._fenced(body):
            return self._answer(409, reason="fence")
        task, number = body["task"], body["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.runs.get((task, number))
        if run is not None and not run.stopping:
            run.stopping = True
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_S, self._end, run, "stopped")
        return self._answer(200)

    async def _hold(self, body: dict) -> Response | None:
        if self._fenced(body):
            return self._answer(409, reason="fence")
        acked = body.get("ackCursor", 0)
        for end in self.ends:
            if end[0] <= acked:
                self.fleet.on_noted(self, end)
        self.ends = [end for end in self.ends if end[0] > acked]
        if "untilMs" in body:
            self._extend(body["untilMs"])
        wait_s = body.get("waitMs", 0) / 1000
        if wait_s and not self.ends:
            self.news.clear()
            try:
                async with asyncio.timeout(wait_s):
                    await self.news.wait()
            except TimeoutError:
                pass
        if not self.up:
            return None
        rows = [
            [run.task, run.number, run.checkpoint, self._percent(run), 0]
            for run in self.runs.values()
        ]
        ends = self.ends[:MAX_LISTED_ENDS]
        return self._answer(200, born=self.born_ms, running=rows, finished=ends)

    def _percent(self, run: Run) -> int:
        if run.length_s is None:
            return 100
        done = (time.monotonic() - run.began_at) / run.length_s
        return min(99, int(100 * done))

    def _extend(self, until_ms: int) -> None:
        clock_ms = self.clock_ms()
        until_ms = min(until_ms, clock_ms + MAX_HOLD_MS)
        if until_ms <= self.lease_ms:
            return
        self.lease_ms = until_ms
        if self.lease_timer is not None:
            self.lease_timer.cancel()
        loop = asyncio.get_running_loop()
        left_s = (until_ms - clock_ms) / 1000
        self.lease_timer = loop.call_later(left_s, self._lapse)

    def _lapse(self) -> None:
        for run in list(self.runs.values()):
            self._end(run, "lapsed")

    def _end(self, run: Run, how: str) -> None:
        if self.runs.pop((run.task, run.number), None) is None:
            return
        if run.timer is not None:
            run.timer.cancel()
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.count += 1
        self.ends.append([self.count, run.task, run.number, how, run.checkpoint])
        self.news.set()
        self.fleet.on_end(self, run, how)


class Fleet:
    """All workers; notes every start, and two runs of a task at the same time."""

    def __init__(self, store: Store, service: str, note: Callable[[str], None]) -> None:
        self.store = store
        self.service = service
        self.note = note
        self.workers: dict[str, Worker] = {}
        self.lengths_s: dict[str, float | None] = {}
        self.starts: list[tuple[float, str, int, str]] = []
        self.doubles: list[str] = []
        self.done: set[str] = set()
        self.noted: set[str] = set()
        self.late_at: float | None = None
        self._beats: asyncio.Task | None = None

    async def add(self, name: str, zone: str, rack: str) -> Worker:
        """Start a worker."""
        worker = self.workers[name] = Worker(name, self, zone, rack)
        await worker.start()
        return worker

    def start_beats(self) -> None:
        """Write entries regularly, and remove those of silent workers."""
        self._beats = asyncio.create_task(self._run_beats())

    async def _run_beats(self) -> None:
        listed = set(self.workers)
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for worker in self.workers.values():
                if worker.up and worker.reaches_store:
                    if now - worker.last_beat_at >= HEARTBEAT_S:
                        worker.beat()
                    listed.add(worker.name)
                elif worker.name in listed and now - worker.last_beat_at >= EXPIRY_S:
                    listed.discard(worker.name)
                    self.store.put("keyed.servers", worker.name, None)
                    self.note(f"{worker.name}: its entry is removed after its silence")

    def length_s(self, task: str) -> float | None:
        """Return how long a task runs, None if it lasts."""
        return self.lengths_s.get(task.partition(".")[0], 0.5)

    def holders_of(self, task: str) -> list[Worker]:
        """Return the workers that are up and run a task."""
        return [
            worker
            for worker in self.workers.values()
            if worker.up and any(run.task == task for run in worker.runs.values())
        ]

    def on_start(self, worker: Worker, run: Run) -> None:
        """Note a start, and whether the task runs elsewhere at the same time."""
        now = time.monotonic()
        self.starts.append((now, run.task, run.number, worker.name))
        self.note(f"{worker.name}: {run.task} run {run.number} starts")
        others = [each.name for each in self.holders_of(run.task) if each is not worker]
        if others:
            text = f"{run.task} starts on {worker.name} and still runs on {others[0]}"
            self.doubles.append(text)
            self.note(f"BROKEN: {text}")
        if run.task in self.noted:
            text = f"{run.task} starts after its end 'done' was taken note of"
            self.doubles.append(text)
            self.note(f"BROKEN: {text}")

    def on_end(self, worker: Worker, run: Run, how: str) -> None:
        """Note the end of a run."""
        if how == "done":
            self.done.add(run.task)
        self.note(f"{worker.name}: {run.task} run {run.number} ends {how}")

    def on_noted(self, worker: Worker, end: list) -> None:
        """Note that an end was acknowledged."""
        if end[3] == "done":
            self.noted.add(end[1])
