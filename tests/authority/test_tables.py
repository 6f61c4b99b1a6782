"""Tables of single decisions: charts, slices, folds, keys, admission, transfers."""

from __future__ import annotations

from pathlib import Path

import pytest

from briarrun_core.admission import Admission, AdmissionSettings
from briarrun_core.chart import (
    CHART_NAMES,
    Chart,
    ChartDocument,
    ChartError,
    Transition,
    render_charts,
)
from briarrun_core.configuration import (
    ConfigError,
    ConfigVersion,
    diff_documents,
    digest_of,
    merge_patch,
    next_version,
    parse_document,
)
from briarrun_core.errors import RefusalReason
from briarrun_core.fleet import FleetState
from briarrun_core.keys import generate_key, parse_token, verify_token
from briarrun_core.limits import LimitSettings, TeamLimits
from briarrun_core.model import JobKind, JobSpec, TaskState
from briarrun_core.records import (
    ClaimKind,
    ClaimRecord,
    ConfigRecord,
    EndedJob,
    JobsRecord,
    Record,
    SlicesReadRecord,
    TransferRecord,
)
from briarrun_core.resources import Resources
from briarrun_core.slices import SliceTable, change_limit, split_limit
from briarrun_core.snapshots import SnapshotSchedule
from tests.authority.fleets import Fleet
from tests.authority.world import World

ALPHA = generate_key("alpha_1", "alpha", secret=bytes(32))
BETA = generate_key("b", "beta", operator=True, secret=bytes([1] * 32))
DOCUMENT = {
    "domains_by_name": {n: {"name": n, "region": "r"} for n in ("a", "b", "c")},
    "teams_by_id": {
        "alpha": {"team_id": "alpha", "limit": {"slots": 10}},
        "beta": {"team_id": "beta", "limit": {"slots": 4, "cores": 7}},
    },
    "queues_by_name": {
        "all": {"name": "all"},
        "mine": {"name": "mine", "teams": ["alpha"]},
        "open": {"name": "open", "open_to_all": True},
    },
    "keys_by_id": {
        new.key.key_id: {
            "key_id": new.key.key_id,
            "team": new.key.team,
            "secret_sha256": new.key.secret_sha256,
            "operator": new.key.operator,
        }
        for new in (ALPHA, BETA)
    },
}


def config_record(number: int, base: int, changes: dict[str, object]) -> ConfigRecord:
    before = {} if base == 0 else DOCUMENT
    return ConfigRecord(
        record_id=f"c{number}",
        base_generation=base,
        changes=changes,
        digest=digest_of(merge_patch(before, changes)),
    )


def orphan(domain: str, holder: str) -> ClaimRecord:
    return ClaimRecord(
        record_id=f"{holder}:1",
        domain=domain,
        kind=ClaimKind.ORPHAN,
        epoch=1,
        base_epoch=0,
        base_revision=0,
        holder=holder,
        author=holder,
        electors=(holder,),
    )


def folded(*records: Record) -> FleetState:
    state = FleetState()
    state.start_at(0)
    for offset, record in enumerate((config_record(0, 0, DOCUMENT), *records)):
        state.apply(offset, record)
    return state


def test_chart_page_is_current() -> None:
    """A page that differs from the charts would mislead its readers."""
    page = Path(__file__).parents[2] / "docs" / "charts.md"
    assert page.read_text(encoding="utf-8") == render_charts()


def test_charts_cover_their_states() -> None:
    """A state that no transition reaches, or no enum names, is a mistake."""
    for name in CHART_NAMES:
        chart = Chart.from_file(name)
        reached = {chart.initial, *chart.targets_by_step.values()}
        assert reached == set(chart.states)
    assert set(Chart.from_file("task").states) == {state.value for state in TaskState}


def test_chart_refuses_what_it_does_not_list() -> None:
    """A step outside the chart would be a state change that nobody reviewed."""
    chart = Chart.from_file("authority")
    with pytest.raises(ChartError, match="no event 'won' in state 'follower'"):
        chart.step("follower", "won")
    steps = (Transition("e", ("s", "x"), "s"), Transition("e", ("s",), "y"))
    with pytest.raises(ChartError, match="unknown state 'x'.*unknown state 'y'"):
        Chart.from_document(ChartDocument("c", "", "s", ("s",), steps))


@pytest.mark.parametrize(
    ("before", "old", "new", "after"),
    [
        ((4, 3, 3), 10, 12, (5, 4, 3)),
        ((4, 3, 3), 10, 7, (3, 2, 2)),
        ((9, 1, 0), 10, 5, (5, 0, 0)),
        ((0, 0, 10), 10, 3, (0, 0, 3)),
        ((4, 3, 0), 10, 10, (4, 3, 0)),
        ((4, 3, 0), 10, 9, (5, 4, 0)),
        ((4, 3, 3), 10, 0, (0, 0, 0)),
        ((0, 0, 0), 0, 5, (2, 2, 1)),
    ],
)
def test_slices_follow_a_changed_limit(
    before: tuple[int, ...], old: int, new: int, after: tuple[int, ...]
) -> None:
    """Slices above the limit would let a team run too much."""
    slices = {n: Resources(slots=v) for n, v in zip("abc", before, strict=True)}
    changed = change_limit(slices, Resources(slots=old), Resources(slots=new))
    assert tuple(changed[name].slots for name in "abc") == after
    assert sum(after) <= max(new, 0)


def test_limit_is_split_in_equal_parts() -> None:
    """Every reader must split alike, the rest in name order."""
    parts = split_limit(Resources(cores=7, slots=4), ["c", "a", "b"])
    assert [parts[n] for n in "abc"] == [
        Resources(cores=3, slots=2),
        Resources(cores=2, slots=1),
        Resources(cores=2, slots=1),
    ]
    assert split_limit(Resources(slots=4), []) == {}


def test_merge_patch_and_diff_agree() -> None:
    """A patch that does not make the intended document would be refused by digest."""
    old = {"a": {"x": 1, "y": 2}, "b": 1, "c": [1]}
    new = {"a": {"x": 1, "z": {"w": 0}}, "c": [1, 2], "d": {}}
    patch = diff_documents(old, new)
    assert patch == {
        "a": {"y": None, "z": {"w": 0}},
        "b": None,
        "c": [1, 2],
        "d": {},
    }
    assert merge_patch(old, patch) == new


@pytest.mark.parametrize(
    ("changes", "digest", "message"),
    [
        ({"teams_by_id": {"alpha": {"limit": {"slots": -1}}}}, "", "not be negative"),
        ({"teams_by_id": {"alpha": {"limit": 3}}}, "", "Expected"),
        ({"queues_by_name": {"x": {"name": "y"}}}, "", "/queues_by_name/x: names 'y'"),
        ({"queues_by_name": {"all": None}}, "00", "digest"),
    ],
)
def test_invalid_configuration_is_refused(
    changes: dict[str, object], digest: str, message: str
) -> None:
    """A change that cannot be read alike everywhere must not be in force anywhere."""
    current = ConfigVersion(generation=1, document=DOCUMENT)
    record = ConfigRecord(
        record_id="c",
        base_generation=1,
        changes=changes,
        digest=digest or digest_of(merge_patch(DOCUMENT, changes)),
    )
    with pytest.raises(ConfigError, match=message):
        next_version(current, record, 1)


def jobs(number: int, epoch: int, accepted: str = "", ended: str = "") -> JobsRecord:
    spec = JobSpec(job_id=accepted, team="alpha", queue="all", kind=JobKind.BATCH)
    return JobsRecord(
        record_id=f"j{number}",
        domain="a",
        epoch=epoch,
        accepted=(spec,) if accepted else (),
        ended=(EndedJob(job_id=ended, state="done"),) if ended else (),
    )


@pytest.mark.parametrize(
    ("records", "still_open"),
    [
        ([jobs(1, 1, "a.1")], {"a.1"}),
        ([jobs(1, 2, "a.1")], set()),
        ([jobs(1, 1, "a.1"), jobs(2, 1, "", "a.1")], set()),
        ([jobs(1, 1, "a.1"), jobs(2, 1, "", "a.1"), jobs(1, 1, "a.1")], set()),
        ([jobs(1, 1, "a.1"), jobs(2, 0, "", "a.1")], {"a.1"}),
    ],
)
def test_open_jobs_are_folded(records: list[JobsRecord], still_open: set[str]) -> None:
    """A job opened by a repeated or outdated record would run twice."""
    state = folded(orphan("a", "vm1.x"), *records)
    assert set(state.open_jobs_by_domain["a"]) == still_open


def test_keys_are_verified() -> None:
    """A wrong, malformed or unknown key must never pass."""
    keys = parse_document(DOCUMENT).keys_by_id
    assert verify_token(ALPHA.token, keys).is_ok()
    assert parse_token(ALPHA.token) == ("alpha_1", bytes(32).hex())
    wrong = (
        ALPHA.token[:-1] + "1",
        ALPHA.token.upper(),
        "brk_x",
        "",
        "brk__" + "0" * 64,
    )
    for token in (*wrong, generate_key("alpha_1", "alpha").token):
        assert verify_token(token, keys).is_error()
    with pytest.raises(ValueError, match="key id"):
        generate_key("a b", "alpha")
    assert ALPHA.token not in repr(ALPHA)


@pytest.mark.parametrize(
    ("queue", "token", "age", "expected"),
    [
        ("all", ALPHA.token, 0, "alpha"),
        ("all", BETA.token, 0, "beta"),
        ("all", None, 0, RefusalReason.KEY_REQUIRED),
        ("all", "brk_x", 0, RefusalReason.INVALID_KEY),
        ("mine", ALPHA.token, 0, "alpha"),
        ("mine", BETA.token, 0, RefusalReason.QUEUE_NOT_ALLOWED),
        ("open", None, 0, "open"),
        ("open", BETA.token, 0, "beta"),
        ("open", "brk_x", 0, RefusalReason.INVALID_KEY),
        ("none", ALPHA.token, 0, RefusalReason.UNKNOWN_QUEUE),
        ("all", ALPHA.token, 300, "alpha"),
        ("all", ALPHA.token, 301, RefusalReason.CONFIGURATION_STALE),
        ("open", ALPHA.token, 301, "open"),
    ],
)
def test_queue_admits(
    queue: str, token: str | None, age: float, expected: str | RefusalReason
) -> None:
    """Work must count for the team of the key, and only while the key can be known."""
    admission = Admission.from_config(AdmissionSettings(), "a")
    admission.on_config(parse_document(DOCUMENT), 1)
    admission.on_log_read(1000.0, is_config_known=True)
    result = admission.admit(queue, token, 1000.0 + age)
    seen = result.ok.team if result.is_ok() else result.error.reason
    assert seen == expected
    operator = admission.authorize_operator(token, 1000.0 + age).is_ok()
    assert operator == (token == BETA.token and age < 300)


def test_fresh_instance_waits_for_the_newest_generation() -> None:
    """An instance that admits too early could accept a withdrawn key."""
    admission = Admission.from_config(AdmissionSettings(), "a")
    for now, generation, in_force, ready in (
        (0.0, 4, 4, False),
        (0.9, 4, 4, False),
        (1.1, 5, 4, False),
        (1.2, 5, 5, True),
        (1.3, 6, 5, False),
        (1.4, 2, 6, True),
    ):
        admission.on_config(parse_document(DOCUMENT), in_force)
        admission.on_peer("a", generation, now, contact_age_s=0.0)
        assert admission.is_ready() is ready


def test_transfers_are_paced_and_settled() -> None:
    """Giving an amount twice, or while the last transfer is in doubt, loses track."""
    state = folded(orphan("a", "vm1.x"))
    limits = TeamLimits.from_config(LimitSettings(), "a", "vm1.x", 1)
    limits.on_log_read(state)
    used = {"alpha": Resources(slots=1)}
    for domain, lacking in (("b", 2), ("c", 9)):
        limits.on_demand(domain, {"alpha": Resources(slots=lacking)}, 10.0)
    first = limits.offer(used, {}, 10.0)
    assert isinstance(first, TransferRecord)
    assert (first.to_domain, first.amounts_by_team) == (
        "b",
        {"alpha": Resources(slots=2)},
    )
    assert limits.usable_of("alpha") == Resources(slots=2)
    assert limits.offer(used, {}, 11.5) is None
    limits.on_log_read(state)
    assert limits.offer(used, {}, 11.5) == first
    state.apply(2, first)
    limits.on_log_read(state)
    assert (limits.in_doubt, limits.usable_of("alpha").slots) == (None, 2)
    second = limits.offer(used, {"alpha": Resources(slots=1)}, 12.0)
    assert second is None
    assert limits.unmet_demand(used, {"alpha": Resources(slots=3)}) == {
        "alpha": Resources(slots=2)
    }


@pytest.mark.parametrize(
    ("domain", "now", "due"),
    [
        ("a", 10.0, ["config", "slices", "domain:a"]),
        ("b", 10.0, ["domain:b"]),
        ("b", 45.0, ["domain:b"]),
        ("b", 61.0, ["config", "slices", "domain:a", "domain:b"]),
    ],
)
def test_snapshots_are_due(domain: str, now: float, due: list[str]) -> None:
    """A section that nobody writes again is lost with the log's retention."""
    state = folded(orphan("a", "vm1.x"), orphan("b", "vm2.x"))
    schedule = SnapshotSchedule(domain, 100.0)
    assert schedule.due(state, 9.0) == []
    schedule.on_caught_up()
    schedule.due(state, 10.0)
    assert schedule.due(state, now) == due
    for section in due:
        schedule.take(state, section, "s", now)
    assert schedule.due(state, now + 1.0) == []


@pytest.mark.parametrize("vms", [2, 3])
@pytest.mark.parametrize("seed", range(20))
def test_killed_holder_is_replaced_within_a_second(seed: int, vms: int) -> None:
    """Users wait for as long as their domain has no holder."""
    world = World(seed, Fleet(1, vms, 60.0, 0, clock_rates=(1.0,)))
    world.is_calm = True
    world.run(seed * 0.013)
    holder = next(p for p in world.processes if p.may_act())
    holder.is_alive, killed_at = False, world.now
    while not any(p.may_act() for p in world.processes):
        world.run(0.005)
        assert world.now - killed_at < 1.0


def transfer(source: str, target: str, slots: int) -> TransferRecord:
    return TransferRecord(
        record_id=f"{source}-{target}-{slots}",
        from_domain=source,
        epoch=1,
        to_domain=target,
        amounts_by_team={"alpha": Resources(slots=slots)},
    )


def limit_change(state: FleetState, slots: int) -> ConfigRecord:
    version = state.config_version
    changes = {"teams_by_id": {"alpha": {"limit": {"slots": slots}}}}
    return ConfigRecord(
        record_id=f"limit-{version.generation}",
        base_generation=version.generation,
        changes=changes,
        digest=digest_of(merge_patch(version.document, changes)),
    )


@pytest.mark.parametrize(
    ("limits", "others", "after_report"),
    [
        ((5, 10), 0, {"a": 7, "b": 2, "c": 1}),
        ((5, 12), 2, {"a": 8, "b": 3, "c": 1}),
        ((0, 10), 0, {"a": 4, "b": 3, "c": 3}),
        ((10,), 0, {"a": 10, "b": 0, "c": 0}),
    ],
)
def test_lowered_limit_is_given_away_only_once_it_was_read(
    limits: tuple[int, ...], others: int, after_report: dict[str, int]
) -> None:
    """A domain cut off since before a limit was lowered still uses its old slice."""
    state = folded(
        *(orphan(name, f"{name}.1") for name in "abc"),
        transfer("b", "a", 3),
        transfer("c", "a", 3),
    )
    assert state.slice_of("alpha", "a").slots == 10
    for slots in limits:
        state.apply(state.next_offset, limit_change(state, slots))
    given = sum(state.slice_of("alpha", name).slots for name in "bc")
    assert given <= others
    early = SlicesReadRecord(record_id="early", domain="a", epoch=1, read_to=5)
    state.apply(state.next_offset, early)
    assert sum(state.slice_of("alpha", name).slots for name in "bc") == given
    read = SlicesReadRecord(
        record_id="read", domain="a", epoch=1, read_to=state.next_offset
    )
    state.apply(state.next_offset, read)
    slices = {name: state.slice_of("alpha", name).slots for name in "abc"}
    assert sum(slices.values()) == limits[-1]
    assert slices == after_report
    assert not state.unread_slices_in("a")


def test_unread_slices_are_the_guard(monkeypatch: pytest.MonkeyPatch) -> None:
    """Without them the cut-off domain and the others together exceed the limit."""
    monkeypatch.setattr(SliceTable, "_set_unread", lambda *_: None)
    state = folded(
        *(orphan(name, f"{name}.1") for name in "abc"),
        transfer("b", "a", 3),
        transfer("c", "a", 3),
    )
    still_used = state.slice_of("alpha", "a").slots
    for slots in (5, 10):
        state.apply(state.next_offset, limit_change(state, slots))
    given = sum(state.slice_of("alpha", name).slots for name in "bc")
    assert still_used + given > 10
