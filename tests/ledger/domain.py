"""One failure domain in virtual time, driven action by action, and its checks."""

from __future__ import annotations

import random
from collections import deque

from briarrun_core.ledger_orders import LedgerSettings, WorkerInfo
from briarrun_core.model import JobKind, JobSpec, TaskState, Urgency, job_id_of
from briarrun_core.resources import NOTHING, Resources
from tests.ledger.fleet import FakeWorker, GroundTruth, Network
from tests.ledger.holders import (
    CLAIM_WAIT_S,
    TERM_S,
    Instance,
    Messenger,
    new_instance,
)

SETTINGS = LedgerSettings(
    task_lease_s=2.0,
    renew_interval_s=0.7,
    worker_silent_s=0.8,
    gang_start_s=1.0,
    checkpoint_s=1.0,
    throttle_grace_s=1.0,
    ended_job_keep_s=20.0,
    service_healthy_s=5.0,
)
TEAMS = ("a", "b")
CAPACITY = Resources(4000, 4000)
SLICE = Resources(7000, 7000)
# A lowered slice holds when the tasks above it have been stopped or have lapsed.
SLICE_GRACE_S = 2 * SETTINGS.task_lease_s + TERM_S
# A gang's tasks that must stop do so by an order or, without renewal, by lapse.
# A late response counts as a sign of life, hence the longest delay.
GANG_GRACE_S = SETTINGS.gang_start_s + 2 * SETTINGS.task_lease_s + TERM_S + 4.0
MAX_OPEN_JOBS = 10
FINAL_STATES = ("done", "failed", "cancelled", "unknown")


class CheckError(AssertionError):
    """Report an invariant that the ground truth shows to be broken."""


class Domain(Messenger):
    """Hold workers, instances, the log and what callers were told."""

    def __init__(self, seed: int, skew_s: float = 0.05) -> None:
        self.source = random.Random(seed)
        half = skew_s / 2
        workers = {
            f"w{n}": FakeWorker(f"w{n}", CAPACITY, half * (-1) ** n) for n in range(4)
        }
        super().__init__(Network(self.source), workers, {}, GroundTruth())
        self.half_skew = half
        self.specs: dict[str, JobSpec] = {}
        self.logged: dict[str, JobSpec] = {}
        self.log_ended: set[str] = set()
        self.accepted: set[str] = set()
        self.told_not_run: set[str] = set()
        self.told_final: dict[str, str] = {}
        self.slices = dict.fromkeys(TEAMS, SLICE)
        self.slice_history: deque[tuple[float, dict[str, Resources]]] = deque()
        self.ledger_lost = False
        self.partial_since: dict[str, float] = {}
        self.instances_made = 0
        self.holder = self._add_instance()
        self.holder.epoch = 1
        for _ in range(2):
            self._add_instance().epoch = 1
        self.holder.electors = set(self.instances)
        self._set_up_holder()
        self.holder.confirmed_at = self.network.now
        self.advance(0.05)

    # Instances

    def _add_instance(self) -> Instance:
        self.instances_made += 1
        offset = self.source.choice((-1, 0, 1)) * self.half_skew
        made = new_instance(f"i{self.instances_made}", offset, SETTINGS)
        self.instances[made.name] = made
        return made

    def _set_up_holder(self) -> None:
        self.holder.ledger.set_slices(self.slices)
        for worker_id in self.workers:
            info = WorkerInfo(worker_id=worker_id, capacity=CAPACITY)
            self.holder.ledger.set_worker(info)
        self.replicate(self.holder)
        for worker in self.workers.values():
            self.poll(self.holder, worker)

    def on_accepted(self, job_id: str) -> None:
        self.accepted.add(job_id)

    def advance(self, seconds: float) -> None:
        self.network.run_until(self.network.now + seconds, self.settle)

    def act_confirm(self) -> None:
        """Renew the holder's authority, as a log read or promises do."""
        if self.holder.alive and not self.holder.frozen:
            self.holder.confirmed_at = max(self.holder.confirmed_at, self.network.now)

    def act_advance(self) -> None:
        """Let time pass, most often with the daemon's loops running."""
        seconds = self.source.choice((0.005, 0.02, 0.1, 0.4))
        if self.source.random() < 0.2:
            self.advance(seconds)
            return
        for _ in range(max(1, round(seconds / 0.05))):
            if self.source.random() < 0.9:
                self.act_confirm()
            self.act_tick()
            self.act_poll()
            self.advance(min(seconds, 0.05))

    def act_pass(self) -> None:
        """Let a good second pass, in which the daemon's loops run."""
        for _ in range(10):
            self.act_confirm()
            self.act_tick()
            self.act_poll()
            self.advance(0.1)

    def act_freeze(self) -> None:
        frozen = self.source.choice(sorted(self.instances))
        self.instances[frozen].frozen = not self.instances[frozen].frozen

    def act_resync(self) -> None:
        if self.may_act(self.holder):
            for peer in list(self.instances.values()):
                if peer is not self.holder:
                    self.resync(self.holder, peer)

    def act_electors(self) -> None:
        """Leave out a silent elector or add one that has a full replica."""
        holder = self.holder
        if not self.may_act(holder):
            return
        self.replicate(holder)
        name = self.source.choice(sorted(self.instances))
        full = holder.acked_by_peer.get(name, 0) >= holder.ledger.seq
        if name == holder.name:
            return
        if name in holder.electors and self.source.random() < 0.3:
            holder.electors.discard(name)
            self.note_replicated(holder)
        elif self.instances[name].alive and full:
            holder.electors.add(name)

    def act_takeover(self) -> None:
        """Let an elector, or a new instance if there is none, replace the holder."""
        old = self.holder
        candidates = [
            self.instances[name]
            for name in sorted(old.electors - {old.name})
            if self.instances[name].alive and not self.instances[name].frozen
        ]
        if not candidates and self.source.random() < 0.7:
            self._mend_electors()
            return
        if self.source.random() < 0.5:
            old.alive = False
        old.cut_off = self.source.random() < 0.5
        if candidates:
            self._succeed(old, self.source.choice(candidates), ledger_lost=False)
        elif not old.alive:
            for instance in self.instances.values():
                instance.alive = False
            made = self._add_instance()
            self._succeed(old, made, ledger_lost=True)

    def _succeed(self, old: Instance, new: Instance, ledger_lost: bool) -> None:
        if not ledger_lost and self.source.random() < 0.5:
            self.act_confirm()
        handover = not ledger_lost and old.alive and self.source.random() < 0.3
        claimed_at = self.network.now
        new.epoch, new.cut_off = old.epoch + 1, False
        new.electors = (old.electors - {old.name}) | {new.name}
        new.acked_by_peer, new.link_free_at, new.waiting = {}, {}, []
        new.unanswered, new.cancelled = {}, {}
        self.holder = new
        self.partial_since.clear()
        if handover:
            # The old holder has stopped acting; its orders may still be on their way.
            old.confirmed_at, old.waiting = -1.0, []
        else:
            for worker in self.workers.values():
                self.poll(new, worker)
            for _ in range(4):
                self.act_tick()
                self.advance(CLAIM_WAIT_S / 4)
        if ledger_lost:
            self.ledger_lost = True
            self._forget_unlogged()
        ledger = new.ledger
        ledger.begin_recovery(claimed_at + new.offset + TERM_S, ledger_lost)
        ledger.merge_logged_jobs(s for j, s in self.logged.items())
        self._set_up_holder()
        new.confirmed_at = self.network.now
        if ledger_lost and self.source.random() < 0.5:
            self.act_cancel()
            self.act_cancel()
        if self.source.random() < 0.8:
            self._mend_electors()

    def _forget_unlogged(self) -> None:
        """Drop what may be lost with all instances; logged jobs must survive."""
        self.accepted &= set(self.logged) | self.log_ended
        for name in [n for n in self.told_final if job_id_of(n) not in self.log_ended]:
            del self.told_final[name]

    def act_replace(self) -> None:
        """Replace a dead instance by a new one, which is a follower."""
        for instance in self.instances.values():
            instance.cut_off = False
        if sum(i.alive for i in self.instances.values()) < 3:
            self._add_instance()
            self.act_resync()

    # Callers

    def act_submit(self) -> None:
        if not self.may_act(self.holder):
            return
        if self.specs and self.source.random() < 0.2:
            known = self.specs[self.source.choice(sorted(self.specs))]
            if self.holder.ledger.job_status(known.job_id) is not None:
                self.holder.ledger.accept_job(known, self.clock(self.holder))
            return
        for _ in range(3):
            self._submit_new()

    def _submit_new(self) -> None:
        if sum(1 for _ in self.holder.ledger.open_jobs()) > MAX_OPEN_JOBS:
            return
        number = len(self.specs)
        kind = self.source.choice((JobKind.BATCH, JobKind.BATCH, JobKind.GANG))
        spec = JobSpec(
            job_id=f"z.{number}",
            team=self.source.choice(TEAMS),
            queue="q",
            kind=kind,
            urgency=self.source.choice(list(Urgency)),
            tasks=self.source.randint(1, 3),
            resources=Resources(self.source.choice((1000, 2000, 3000)), 500),
            idempotent=self.source.random() < 0.6,
        )
        accepted = self.holder.ledger.accept_job(spec, self.clock(self.holder))
        if accepted.is_ok():
            self.specs[spec.job_id] = spec
            self.holder.unanswered[spec.job_id] = accepted.ok.durable_seq
            self.replicate(self.holder)

    def act_cancel(self) -> None:
        if self.specs and self.may_act(self.holder):
            job_id = self.source.choice(sorted(self.specs))
            orders = self.holder.ledger.cancel_job(job_id, self.clock(self.holder))
            self.holder.cancelled[job_id] = self.holder.ledger.seq
            self.send_orders(self.holder, list(orders))

    def act_flush(self) -> None:
        """Append accepted and ended jobs to the log and read them back."""
        holder = self.holder
        if not self.may_act(holder):
            return
        accepted, ended = holder.ledger.jobs_to_log()
        for spec in accepted:
            self.logged[spec.job_id] = spec
            holder.ledger.confirm_job(spec.job_id)
            self.accepted.add(spec.job_id)
        for job in ended:
            self.logged.pop(job.job_id, None)
            self.log_ended.add(job.job_id)
            state = holder.ledger.snapshot()
            for told in (j for j in state.jobs if j.spec.job_id == job.job_id):
                for number, task in enumerate(told.tasks):
                    self.told_final[f"{job.job_id}/{number}"] = task.state
        logged, ended_ids = [s.job_id for s in accepted], [j.job_id for j in ended]
        holder.ledger.on_jobs_logged(logged, ended_ids)

    def act_slices(self) -> None:
        team = self.source.choice(TEAMS)
        amount = self.source.choice((3000, 5000, 7000))
        self.slice_history.append((self.network.now, self.slices))
        self.slices = {**self.slices, team: Resources(amount, amount)}
        self.holder.ledger.set_slices(self.slices)

    # Scheduling and workers

    def _acting(self) -> Instance | None:
        """Return any instance; the ledger must refuse one without authority."""
        if self.source.random() < 0.7:
            self.act_confirm()
            return self.holder
        acting = [i for i in self.instances.values() if i.alive and not i.frozen]
        return self.source.choice(acting) if acting else None

    def act_start(self) -> None:
        """Propose blindly; the ledger must refuse what is unsafe."""
        holder = self._acting()
        if holder is None:
            return
        proposals = self.source.sample(sorted(self.specs), min(3, len(self.specs)))
        proposals += [spec.job_id for spec in holder.ledger.open_jobs()]
        for job_id in proposals:
            tasks = self.specs[job_id].tasks
            placed = {
                f"{job_id}/{n}": self.source.choice(sorted(self.workers))
                for n in range(tasks)
            }
            now, until = self.clock(holder), self.authority_until(holder)
            if self.specs[job_id].kind is JobKind.GANG and self.source.random() < 0.5:
                started = holder.ledger.start_gang(placed, holder.epoch, now, until)
                for order in started.default_value([]):
                    self.start(holder, order)
                continue
            for task, worker_id in placed.items():
                one = holder.ledger.start_task(
                    task, worker_id, holder.epoch, now, until
                )
                if one.is_ok():
                    self.start(holder, one.ok)

    def place_pending(self) -> None:
        """Place every pending task on the first worker that the ledger accepts."""
        holder = self.holder
        self.act_confirm()
        now, until = self.clock(holder), self.authority_until(holder)
        for spec in list(holder.ledger.open_jobs()):
            view = holder.ledger.job_view(spec.job_id)
            for task in view.pending_tasks if view else ():
                for worker_id in self.source.sample(sorted(self.workers), 4):
                    one = holder.ledger.start_task(
                        task, worker_id, holder.epoch, now, until
                    )
                    if one.is_ok():
                        self.start(holder, one.ok)
                        break

    def _work(self, seconds: float, step: float) -> None:
        """Let the holder renew, poll and place what it can, in small steps."""
        for _ in range(round(seconds / step)):
            self.act_confirm()
            self.act_tick()
            self.act_poll()
            self.place_pending()
            self.advance(step)

    def act_crash(self) -> None:
        """Replace the holder right after starts, with a worker out of its reach."""
        self.network.replication_lags = self.source.random() < 0.5
        self.act_confirm()
        for _ in range(3):
            self.act_submit()
        self.advance(self.source.choice((0.01, 0.3)))
        self.place_pending()
        self.advance(self.source.choice((0.0, 0.004, 0.05)))
        worker = self.workers[self.source.choice(sorted(self.workers))]
        self.act_takeover()
        worker.cut_from = self.holder.name
        self._work(self.source.choice((0.3, 1.0, 2.5)), 0.05)
        if self.source.random() < 0.3:
            self.act_takeover()
            worker.cut_from = self.holder.name
            self._work(1.0, 0.05)
        self.network.replication_lags = False
        if self.source.random() < 0.7:
            worker.cut_from = ""

    def act_recant(self) -> None:
        """Cancel tasks whose starts may still be on their way and reuse their room."""
        self._work(0.1, 0.05)
        self.act_submit()
        self.advance(0.05)
        self.place_pending()
        for job_id in sorted(self.specs)[-3:]:
            if self.may_act(self.holder):
                orders = self.holder.ledger.cancel_job(job_id, self.clock(self.holder))
                self.send_orders(self.holder, list(orders))
        self._work(0.3, 0.02)

    def act_squeeze(self) -> None:
        """Lower the slices while tasks run."""
        self._work(0.3, 0.1)
        for _ in TEAMS:
            self.act_slices()
        self._work(6.0, 0.1)

    def act_lose_domain(self) -> None:
        """Lose all instances right after a job was logged and cancelled."""
        self.act_confirm()
        self.act_submit()
        self.act_flush()
        self.act_cancel()
        self.advance(0.02)
        self.check()
        if self.source.random() < 0.5:
            for instance in self.instances.values():
                instance.alive = False
            self._succeed(self.holder, self._add_instance(), ledger_lost=True)
            self._work(1.0, 0.1)

    def act_silence(self) -> None:
        """Silence a worker and place its tasks again as soon as they have lapsed."""
        worker = self.workers[self.source.choice(sorted(self.workers))]
        self._work(0.5, 0.1)
        worker.cut_from = self.holder.name
        self._work(3.2, 0.02)
        worker.cut_from = ""

    def act_tick(self) -> None:
        for holder in list(self.instances.values()):
            if not holder.alive or holder.frozen:
                continue
            self.renew(holder)
            if not self.may_act(holder):
                continue
            self.give_up_waiting(holder)
            now = self.clock(holder)
            orders = holder.ledger.expire(now) + holder.ledger.excess(now)
            self.send_orders(holder, orders)

    def act_poll(self) -> None:
        for holder in list(self.instances.values()):
            if self.may_act(holder):
                for worker in self.workers.values():
                    self.poll(holder, worker)

    def act_checkpoint(self) -> None:
        running = [key for w in self.workers.values() for key in w.running]
        if running and self.may_act(self.holder):
            task = self.source.choice(sorted(running))[0]
            now = self.clock(self.holder)
            orders = self.holder.ledger.checkpoint_task(task, now)
            self.send_orders(self.holder, orders.default_value([]))

    def act_complete(self, share: float = 0.3) -> None:
        for worker in self.workers.values():
            for key in sorted(worker.running):
                if self.source.random() < share:
                    state = "done" if self.source.random() < share + 0.4 else "failed"
                    worker.end(key, state)
                    self.truth.done[key[0]] += state == "done"

    def act_worker(self) -> None:
        worker = self.workers[self.source.choice(sorted(self.workers))]
        match self.source.randrange(8):
            case 4:
                worker.cut_from = self.holder.name
            case 0:
                worker.reachable = not worker.reachable
            case 1 if worker.alive:
                worker.die()
            case 2:
                worker.fails_starts = not worker.fails_starts
            case _:
                worker.alive, worker.offset = True, -worker.offset
                worker.cut_from = ""

    def act_overuse(self) -> None:
        for worker in self.workers.values():
            for attempt in worker.running.values():
                factor = self.source.choice((0, 1, 2))
                attempt.usage = attempt.resources.scaled(factor)

    # Checks

    def settle(self) -> None:
        """Let leases lapse and check the workers' own state."""
        for worker in self.workers.values():
            worker.lapse(self.network.now)
        self.check_running()

    def check_running(self) -> None:
        places: dict[str, int] = {}
        by_team = dict.fromkeys(TEAMS, NOTHING)
        for worker in self.workers.values():
            total = NOTHING
            for (task, _), attempt in worker.running.items():
                places[task] = places.get(task, 0) + 1
                total += attempt.resources
                by_team[self.specs[job_id_of(task)].team] += attempt.resources
            if not total.fits_in(worker.capacity):
                raise CheckError(f"capacity: {worker.worker_id} runs {total}")
        for task, count in places.items():
            if count > 1:
                raise CheckError(f"two places: {task} runs {count} times")
        self._check_slices(by_team)
        self._check_gangs(places)

    def _check_gangs(self, places: dict[str, int]) -> None:
        gangs = {job_id_of(task) for task in places}
        partial = {}
        for job_id in gangs:
            spec = self.specs[job_id]
            names = [f"{job_id}/{n}" for n in range(spec.tasks)]
            whole = all(places.get(n) or self.truth.done[n] for n in names)
            if spec.kind is JobKind.GANG and not whole:
                since = self.partial_since.get(job_id, self.network.now)
                partial[job_id] = since
                if self.network.now - since > GANG_GRACE_S:
                    raise CheckError(f"gang: {job_id} runs in part since {since:.3f}")
        self.partial_since = partial

    def _check_slices(self, by_team: dict[str, Resources]) -> None:
        history = self.slice_history
        while history and history[0][0] < self.network.now - SLICE_GRACE_S:
            history.popleft()
        for team, used in by_team.items():
            limits = [self.slices[team], *(old[team] for _, old in history)]
            limit = max(limits, key=lambda r: r.cores)
            if not used.fits_in(limit):
                raise CheckError(f"slice: {team} runs {used}, limit {limit}")

    def check(self) -> None:
        """Check what was told to callers against what really happened."""
        self.check_running()
        for task, runs in self.truth.runs.items():
            job_id = job_id_of(task)
            if runs > 1 and not self.specs[job_id].idempotent:
                raise CheckError(f"run twice: {task} ran {runs} times")
            if job_id in self.told_not_run:
                raise CheckError(f"not run: {task} ran after a not-run answer")
        holder = self.holder
        if not self.may_act(holder):
            return
        self._check_accepted(holder)
        for job_id, seq in list(holder.cancelled.items()):
            if seq <= self._replicated(holder) and len(holder.electors) > 1:
                logged = holder.ledger.needs_logged_end(job_id)
                if logged and job_id not in self.log_ended:
                    continue
                if holder.ledger.never_started(job_id):
                    self.told_not_run.add(job_id)
                del holder.cancelled[job_id]

    def _replicated(self, holder: Instance) -> int:
        others = holder.electors - {holder.name}
        return min((holder.acked_by_peer.get(n, 0) for n in others), default=0)

    def _check_accepted(self, holder: Instance) -> None:
        replicated = self._replicated(holder)
        state = holder.ledger.snapshot()
        known = {job.spec.job_id: job for job in state.jobs}
        for job_id in self.accepted:
            if job_id not in known and job_id not in self.log_ended:
                raise CheckError(f"lost: {job_id} was accepted")
        for job in known.values():
            for number, task in enumerate(job.tasks):
                task_id = f"{job.spec.job_id}/{number}"
                told = self.told_final.get(task_id)
                if told is not None and task.state != told:
                    raise CheckError(f"final: {task_id} was {told}, is {task.state}")
                if task.state in FINAL_STATES:
                    self._check_final(task_id, job.spec, task.state)
                    if state.seq <= replicated and len(holder.electors) > 1:
                        self.told_final[task_id] = task.state

    def _check_final(self, task_id: str, spec: JobSpec, state: TaskState) -> None:
        done, orders = self.truth.done[task_id], self.truth.orders[task_id]
        false = {
            TaskState.DONE: not done,
            TaskState.FAILED: bool(done) and not spec.idempotent,
            TaskState.CANCELLED: bool(done) and not spec.idempotent,
            TaskState.UNKNOWN: not orders and not self.ledger_lost,
        }
        if false[state]:
            raise CheckError(f"false state: {task_id} is {state}, done {done}")

    def check_replicas(self) -> None:
        """Check that a replica with all events equals the holder's ledger."""
        self.replicate(self.holder)
        state = self.holder.ledger.snapshot()
        for peer in self.instances.values():
            same = peer.epoch == self.holder.epoch and peer.ledger.seq == state.seq
            if same and peer.alive and peer.ledger.snapshot() != state:
                raise CheckError(f"replica: {peer.name} differs at {state.seq}")

    def _mend_electors(self) -> None:
        """Leave out dead electors and add a live instance with a full replica."""
        holder = self.holder
        alive = {name for name, instance in self.instances.items() if instance.alive}
        holder.electors &= alive
        self.act_replace()
        self.act_resync()
        if len(holder.electors) < 2:
            self.advance(0.1)
            full = {
                name
                for name, seq in holder.acked_by_peer.items()
                if seq >= holder.ledger.seq
            }
            holder.electors |= full & alive

    def heal_and_finish(self) -> None:
        """End all faults and check that every task reaches a final state."""
        self.network.healed = True
        for worker in self.workers.values():
            worker.alive, worker.reachable, worker.fails_starts = True, True, False
            worker.cut_from = ""
        for instance in self.instances.values():
            instance.frozen = False
        while not self.holder.alive:
            self.act_takeover()
        self.slices = dict.fromkeys(TEAMS, SLICE)
        self.holder.ledger.set_slices(self.slices)
        for _ in range(4):
            self.act_pass()
        for _ in range(60):
            self._mend_electors()
            self.act_flush()
            self.place_pending()
            self.act_pass()
            self.act_complete(share=0.8)
            self.check()
            if not any(True for _ in self.holder.ledger.open_jobs()):
                break
        for spec in self.holder.ledger.open_jobs():
            status = self.holder.ledger.job_status(spec.job_id)
            raise CheckError(f"stuck: {spec.job_id} is {status}")
        self.check_replicas()


ACTIONS = {
    "confirm": 4,
    "advance": 4,
    "pass": 3,
    "tick": 3,
    "poll": 4,
    "submit": 4,
    "start": 6,
    "complete": 2,
    "cancel": 1,
    "flush": 1,
    "slices": 1,
    "checkpoint": 1,
    "overuse": 1,
    "worker": 2,
    "freeze": 0.5,
    "takeover": 1,
    "replace": 1,
    "resync": 1,
    "electors": 1,
    "crash": 1,
    "silence": 0.3,
    "recant": 0.5,
    "squeeze": 0.3,
    "lose_domain": 0.3,
}


def run_walk(seed: int, steps: int, skew_s: float = 0.05) -> None:
    """Take random steps and check after each; raises ``CheckError``."""
    domain = Domain(seed, skew_s)
    names, weights = list(ACTIONS), list(ACTIONS.values())
    for name in domain.source.choices(names, weights, k=steps):
        getattr(domain, f"act_{name}")()
        domain.check()
        domain.check_replicas()
    domain.heal_and_finish()
