"""Tests of loading, checking and saving the declarations folder."""

import json
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from briarrun_cli.declarations import load, load_valid, save
from briarrun_cli.findings import pointer
from briarrun_cli.patches import describe_patch
from briarrun_cli.questionnaire import Answers, apply_answers
from briarrun_core.configuration import diff_documents, merge_patch

CASES = json.loads((Path(__file__).parent / "cases/bad_declarations.json").read_text())

VALID_FILES = {
    "fleet.json": {"domains": {"zagreb": {"region": "north"}}},
    "teams/planner.json": {"limit": {"cores": 64000, "memory_mib": 262144}},
    "queues/rounds.json": {"teams": ["planner"]},
}

ANSWERS = Answers.model_validate(
    {
        "fleet": {"domains": {"zagreb": "north", "split": "south"}},
        "teams": [
            {
                "team": "planner",
                "runs": {"requests": "urgent", "batch": "low"},
                "share": "large",
                "cores": 128,
                "memory_gib": 256,
                "concurrent_requests": 64,
            },
        ],
    },
)


def write_files(folder: Path, files: dict[str, Any]) -> None:
    for name, content in files.items():
        path = folder / name
        path.parent.mkdir(exist_ok=True)
        path.write_text(content if isinstance(content, str) else json.dumps(content))


@pytest.mark.parametrize("case", CASES, ids=lambda case: case["name"])
def test_every_finding_is_reported_with_its_place(
    case: dict[str, Any],
    tmp_path: Path,
) -> None:
    """Every finding must be reported with its location."""
    write_files(tmp_path, VALID_FILES | case["files"])
    loaded = load(tmp_path)
    assert [str(finding) for finding in loaded.findings] == case["findings"]


def test_missing_folder_is_reported(tmp_path: Path) -> None:
    """A missing folder must not cause a traceback."""
    assert [str(f) for f in load(tmp_path / "none").findings] == [
        "fleet.json: file is missing",
    ]


def test_questionnaire_yields_valid_declarations(tmp_path: Path) -> None:
    """Declarations created from answers must be valid."""
    save(tmp_path, apply_answers(None, ANSWERS))
    config = load_valid(tmp_path).config()
    assert sorted(config.queues_by_name) == ["planner-batch", "planner-requests"]
    assert config.teams_by_id["planner"].limit.cores == 128_000


def test_new_answers_keep_keys_and_drop_old_queues(tmp_path: Path) -> None:
    """A team that fills in the questionnaire again must keep its keys."""
    keys = {"k1": {"secret_sha256": "1" * 64}}
    first = apply_answers(None, ANSWERS)
    team = first.teams_by_id["planner"].model_validate({"limit": {}, "keys": keys})
    first.teams_by_id["planner"] = team
    again = ANSWERS.model_copy(
        update={
            "teams": [
                ANSWERS.teams[0].model_validate(
                    {
                        "team": "planner",
                        "runs": {"gangs": "normal"},
                        "cores": 1,
                        "memory_gib": 1,
                    },
                ),
            ],
        },
    )
    second = apply_answers(first, again)
    assert list(second.queues_by_name) == ["planner-gangs"]
    assert second.teams_by_id["planner"].keys == team.keys


def test_saving_again_changes_no_file(tmp_path: Path) -> None:
    """Saving twice must not change a file, since the folder is version-controlled."""
    save(tmp_path, apply_answers(None, ANSWERS))
    before = {path: path.read_bytes() for path in tmp_path.rglob("*.json")}
    save(tmp_path, load_valid(tmp_path))
    assert {path: path.read_bytes() for path in tmp_path.rglob("*.json")} == before


JSON_VALUES = st.recursive(
    st.booleans() | st.integers() | st.text(max_size=3),
    lambda inner: st.lists(inner, max_size=2)
    | st.dictionaries(st.text(max_size=2), inner, max_size=3),
    max_leaves=8,
)
JSON_OBJECTS = st.dictionaries(st.text(max_size=2), JSON_VALUES, max_size=4)


@given(JSON_OBJECTS, JSON_OBJECTS)
def test_patch_turns_base_into_target(
    base: dict[str, Any],
    target: dict[str, Any],
) -> None:
    """A wrong patch would publish a configuration that differs from the folder."""
    patch = diff_documents(base, target)
    assert merge_patch(base, patch) == target
    assert bool(describe_patch(base, patch)) == (base != target)


def test_pointer_escapes_its_parts() -> None:
    """A slash in a key must not be read as a path separator."""
    assert pointer(["a/b", "~", 3]) == "/a~1b/~0/3"
