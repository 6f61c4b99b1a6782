"""Reasons and details of rejected requests."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class RefusalReason(StrEnum):
    """Reasons for a rejection; the values are visible to callers."""

    UNKNOWN_QUEUE = "unknown-queue"
    UNKNOWN_TEAM = "unknown-team"
    INVALID_KEY = "invalid-key"
    KEY_REQUIRED = "key-required"
    QUEUE_NOT_ALLOWED = "queue-not-allowed"
    INVALID_REQUEST = "invalid-request"
    BODY_TOO_LARGE = "body-too-large"
    NO_AUTHORITY = "no-authority"
    NO_CONFIGURATION = "no-configuration"
    CONFIGURATION_STALE = "configuration-stale"
    NOT_DURABLE = "not-durable"
    HOME_UNREACHABLE = "home-unreachable"
    DUPLICATE_REQUEST = "duplicate-request"
    OVERLOADED = "overloaded"
    DEADLINE_PASSED = "deadline-passed"
    DRAINING = "draining"
    TEAM_LIMIT = "team-limit"
    NO_CAPACITY = "no-capacity"
    NEVER_FITS = "never-fits"
    UNKNOWN_WORKER = "unknown-worker"
    WORKER_UNAVAILABLE = "worker-unavailable"
    UNKNOWN_TASK = "unknown-task"
    TASK_NOT_PENDING = "task-not-pending"
    UNKNOWN_UPSTREAM = "unknown-upstream"
    UNKNOWN_JOB = "unknown-job"
    DUPLICATE_JOB = "duplicate-job"


@dataclass(frozen=True, slots=True)
class Refused:
    """Rejection of a request, which had no effect."""

    reason: RefusalReason
    detail: str = ""
