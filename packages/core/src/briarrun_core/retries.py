"""Retry budget, backoff and the conditions for retrying a request."""

from __future__ import annotations

import random
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RetrySettings:
    """Limits on retries; times are seconds.

    ``budget_ratio`` is the fraction of first attempts that may be retried, ``min_per_s``
    the rate of retries that is allowed at any load.
    """

    max_attempts: int = 3
    budget_ratio: float = 0.1
    min_per_s: float = 1.0
    max_tokens: float = 100.0
    first_backoff_s: float = 0.02
    max_backoff_s: float = 1.0


class RetryBudget:
    """Token bucket that limits retries to a fraction of the first attempts.

    The limit keeps retries from multiplying the load on an overloaded system.
    """

    def __init__(self, settings: RetrySettings, now: float) -> None:
        self._settings = settings
        self._tokens = min(settings.max_tokens, settings.min_per_s)
        self._refilled_at = now

    @property
    def tokens(self) -> float:
        """Return the number of retries that are allowed now."""
        return self._tokens

    def note_first_attempt(self, now: float) -> None:
        """Record a first attempt, which adds ``budget_ratio`` tokens."""
        self._refill(now)
        self._add(self._settings.budget_ratio)

    def take(self, now: float) -> bool:
        """Consume a token for one retry; return whether one was available."""
        self._refill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._refilled_at)
        self._refilled_at = max(now, self._refilled_at)
        self._add(elapsed_s * self._settings.min_per_s)

    def _add(self, tokens: float) -> None:
        self._tokens = min(self._settings.max_tokens, self._tokens + tokens)


def backoff_s(settings: RetrySettings, attempt: int, source: random.Random) -> float:
    """Return the wait before retry number ``attempt`` (from 1), with full jitter."""
    exponent = min(attempt - 1, 30)
    limit_s = min(settings.max_backoff_s, settings.first_backoff_s * 2.0**exponent)
    return source.uniform(0.0, limit_s)


@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """Failed attempt of a request.

    ``certainly_not_run`` is set only if the attempt is known not to have run.
    ``attempts`` counts the attempts made so far.
    """

    idempotent: bool
    certainly_not_run: bool
    attempts: int


def may_repeat(attempt: FailedAttempt) -> bool:
    """Return whether a retry cannot run a non-idempotent request twice."""
    return attempt.idempotent or attempt.certainly_not_run


def next_retry_at(
    settings: RetrySettings,
    budget: RetryBudget,
    attempt: FailedAttempt,
    now: float,
    deadline: float,
    source: random.Random,
) -> float | None:
    """Return the time of the next retry, or None if a retry is not allowed.

    The budget is charged only if the retry would start before the deadline.
    """
    if not may_repeat(attempt) or attempt.attempts >= settings.max_attempts:
        return None
    retry_at = now + backoff_s(settings, attempt.attempts, source)
    if retry_at >= deadline or not budget.take(now):
        return None
    return retry_at
