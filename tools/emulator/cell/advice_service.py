"""Admission advice of a replay: approvals that are fixed, and faults of the calls."""

from __future__ import annotations

import asyncio
import hashlib
import random
from collections.abc import Callable, Iterable, Sequence

from briarrun_cell.advice import AdviceProxy
from briarrun_cell.entry_vms import EntryVm
from briarrun_cell.model import StepId
from briarrun_cell.ports import AdviceAnswer, AdviceUnavailable
from tools.emulator.cell.workload import JobClass

HASH_BYTES = 4
HASH_RANGE = 1 << 8 * HASH_BYTES
"""Number of values of the hash that decides on an approval."""

TOLERATED_FAILURES = 0.1
"""Fraction of failed calls in spite of which steps are started in time."""

TOLERATED_SLOWNESS = 1.5
"""Duration of calls, as a multiple, in spite of which steps are started in time."""


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest)


class EmulatedAdvice(AdviceProxy):
    """Approves a fixed part of the workers for each step.

    ``failing`` and ``hanging`` are the fractions of calls that fail at once or are not
    answered, ``slow_factor`` multiplies the duration of a call, and calls through a VM
    in ``lost_vms`` are not answered.
    """

    def __init__(self, kind_of: Callable[[str], JobClass], rng: random.Random) -> None:
        self._kind_of = kind_of
        self._rng = rng
        self.failing = 0.0
        self.hanging = 0.0
        self.slow_factor = 1.0
        self.lost_vms: set[str] = set()

    @property
    def impaired(self) -> bool:
        """Whether so many calls fail, or take so long, that steps must wait."""
        if self.failing + self.hanging > TOLERATED_FAILURES:
            return True
        return self.slow_factor > TOLERATED_SLOWNESS

    def approved(self, step: StepId, worker_ids: Iterable[str]) -> list[str]:
        """Return the workers that are approved for a step, asked about or not."""
        limit = self._kind_of(step.job_id).approved * HASH_RANGE
        prefix = f"{step.job_id}/{step.occurrence}/{step.step}/"
        return [each for each in worker_ids if _hash(prefix + each) < limit]

    async def ask_via(
        self, vm: EntryVm, step: StepId, worker_ids: Sequence[str], timeout_s: float
    ) -> AdviceAnswer:
        """Return the approved workers; raises ``AdviceUnavailable``."""
        terms = self._kind_of(step.job_id).queue.advice
        assert terms is not None
        if self._rng.random() < self.failing:
            raise AdviceUnavailable("refused")
        took_s = terms.call_s(len(worker_ids)) * self.slow_factor
        lost = vm.vm in self.lost_vms or self._rng.random() < self.hanging
        if lost or took_s > timeout_s:
            await asyncio.sleep(timeout_s)
            raise AdviceUnavailable("no answer in time")
        await asyncio.sleep(took_s)
        approved = self.approved(step, worker_ids)
        return AdviceAnswer(dict.fromkeys(approved, "ticket"), terms.validity_s)
