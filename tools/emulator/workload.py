"""The configuration and the mixed work of demo and process tests."""

from __future__ import annotations

import json
import random
from collections.abc import Sequence
from typing import Any

from briarrun_core.keys import generate_key
from tools.emulator.load import Work

KEYS_BY_TEAM = {
    team: generate_key(f"{team}-key", team) for team in ("dispatch", "roster")
}
WRONG_KEY = generate_key("dispatch-key", "dispatch")
OPERATOR = generate_key("operator", "dispatch", operator=True)


def document(domains: Sequence[str]) -> dict[str, Any]:
    """Return the configuration: two teams with keys and one queue open to all."""
    limit = {"cores": 300_000, "memory_mib": 1_200_000, "accelerators": 0, "slots": 32}
    keys = [new.key for new in (*KEYS_BY_TEAM.values(), OPERATOR)]
    return {
        "domains_by_name": {name: {"name": name, "region": "eu"} for name in domains},
        "teams_by_id": {
            team: {"team_id": team, "limit": limit} for team in (*KEYS_BY_TEAM, "open")
        },
        "queues_by_name": {
            "dispatch": {"name": "dispatch", "teams": ["dispatch"]},
            "roster": {"name": "roster", "teams": ["roster"]},
            "public": {"name": "public", "open_to_all": True},
        },
        "keys_by_id": {
            key.key_id: {
                "key_id": key.key_id,
                "team": key.team,
                "secret_sha256": key.secret_sha256,
                "operator": key.operator,
            }
            for key in keys
        },
    }


def plan_work(
    domains: Sequence[str], requests: int, jobs: int, seed: int = 7
) -> list[Work]:
    """Return all work in the order of submission."""
    source = random.Random(seed)
    works = [_request(source, number, domains) for number in range(requests)]
    works += [_job(source, number, domains) for number in range(jobs)]
    source.shuffle(works)
    return works


def _owner(source: random.Random, wrong_share: float) -> tuple[str, str, bool, str]:
    """Return queue, team, whether the key is right, and the key."""
    queue = source.choice(["dispatch", "dispatch", "roster", "public"])
    if queue == "public":
        return queue, "open", True, ""
    if source.random() < wrong_share:
        return queue, queue, False, WRONG_KEY.token
    return queue, queue, True, KEYS_BY_TEAM[queue].token


def _request(source: random.Random, number: int, domains: Sequence[str]) -> Work:
    queue, team, correct, token = _owner(source, 0.03)
    urgency = source.choice(["urgent", "normal", "normal", "low"])
    home = source.choice([f"{name}." for name in domains] + [""])
    return Work(
        work_id=f"{home}req-{number}",
        queue=queue,
        team=team,
        group=urgency,
        token=token,
        correct=correct,
        idempotent=source.random() < 0.4,
        body=json.dumps({"work_s": round(source.uniform(0.005, 0.1), 3)}).encode(),
        headers=(("Briarrun-Urgency", urgency), ("Briarrun-Deadline-Ms", "6000")),
    )


def _job(source: random.Random, number: int, domains: Sequence[str]) -> Work:
    queue, team, correct, token = _owner(source, 0.05)
    kind = source.choice(["service", "batch", "batch", "batch", "gang"])
    tasks = {"service": 1, "batch": source.randint(1, 3), "gang": source.randint(2, 4)}
    seconds = round(source.uniform(0.1, 1.5), 2)
    idempotent = kind == "service" or source.random() < 0.5
    job_id = f"{source.choice(list(domains))}.job-{number}"
    spec = {
        "job_id": job_id,
        "kind": kind,
        "urgency": source.choice(["urgent", "normal", "low"]),
        "tasks": tasks[kind],
        "resources": {"cores": source.choice([500, 1000, 2000]), "memory_mib": 1024},
        "idempotent": idempotent,
        "command": "serve" if kind == "service" else f"sleep {seconds}",
    }
    if kind != "service":
        spec["run_seconds"] = seconds
    return Work(
        work_id=job_id,
        queue=queue,
        team=team,
        group=kind,
        token=token,
        correct=correct,
        idempotent=idempotent,
        body=json.dumps(spec).encode(),
        is_job=True,
        tasks=tasks[kind],
    )
