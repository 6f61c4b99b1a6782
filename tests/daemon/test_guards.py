"""Mutation tests: a test must fail if the protection that it covers is disabled."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from briarrun_core.admission import Admission
from briarrun_core.ledger import Ledger
from briarrun_core.request_records import RequestRecords
from briarrun_core.slots import SlotTable
from briarrun_daemon.epoch_state import EpochState
from briarrun_daemon.membership import Membership
from briarrun_daemon.record_service import RecordService
from briarrun_daemon.replication import Replica
from briarrun_wire.messages import RecordBegin, Replicate, RequestRecordReply
from tests.daemon import test_front_faults as front
from tests.daemon import test_holder_faults as holder

pytestmark = pytest.mark.looptime


async def _always_new(self: RecordService, message: RecordBegin) -> RequestRecordReply:
    return RequestRecordReply(request_id=message.request_id, state="new", attempt=1)


async def _request_nothing(self: Membership, sender: str) -> None:
    return None


def _nothing(*_: Any, **__: Any) -> None:
    return None


def _acknowledge_only(self: Replica, message: Replicate) -> None:
    self.seq = message.seq


def _never(*_: Any) -> bool:
    return False


def _act_for_long(self: EpochState) -> float:
    return self.wall() + 60.0


def _keep_first(self: Admission, config: Any, generation: int) -> None:
    self._config, self._generation = self._config or config, generation
    if generation == 1:
        self._config = config


def _stay(self: SlotTable, info: Any) -> None:
    original_set_upstream(
        self, type(info)(upstream_id=info.upstream_id, address=info.address)
    )


original_set_upstream = SlotTable.set_upstream

Check = Callable[..., Awaitable[None]]
GUARDS: list[tuple[type, str, Any, Check, dict[str, Any]]] = [
    (
        RecordService,
        "begin",
        _always_new,
        holder.test_retry_of_a_request_that_is_not_idempotent,
        {"fault": "none"},
    ),
    (EpochState, "authority_until_wall", _act_for_long, holder.test_frozen_holder, {}),
    (Replica, "_apply", _acknowledge_only, holder.test_log_down_with_promises, {}),
    (
        RequestRecords,
        "assume_ledger_lost",
        _nothing,
        holder.test_loss_of_a_whole_domain,
        {},
    ),
    (Ledger, "merge_logged_jobs", _nothing, holder.test_loss_of_a_whole_domain, {}),
    (
        Admission,
        "is_cut_off",
        _never,
        front.test_domain_cut_off,
        {"keeps": "nothing"},
    ),
    (Admission, "on_config", _keep_first, front.test_withdrawn_key, {}),
    (
        Membership,
        "_request_config",
        _request_nothing,
        front.test_replaced_vm_during_a_log_outage,
        {},
    ),
    (
        SlotTable,
        "set_upstream",
        _stay,
        front.test_leaving_upstream,
        {"source": "VM list"},
    ),
]


@pytest.mark.parametrize("number", range(len(GUARDS)))
async def test_check_fails_without_its_guard(
    monkeypatch: pytest.MonkeyPatch, number: int
) -> None:
    """The test must pass with the protection in place and fail without it."""
    owner, name, replacement, check, parameters = GUARDS[number]
    await check(**parameters)
    monkeypatch.setattr(owner, name, replacement)
    with pytest.raises((AssertionError, KeyError)):
        await check(**parameters)
