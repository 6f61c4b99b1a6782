"""Prometheus metrics of one entry VM."""

from __future__ import annotations

from collections.abc import Mapping
from functools import partial

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

from briarrun_cell import unreadable
from briarrun_cell.explanation import REASONS
from briarrun_wire.client_bounds import Bound, ClientBudget

_WAIT_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.5, 5.0, 15.0)
_DECISION_BUCKETS_S = (0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.1)


class Metrics:
    """Metrics of one process, in a separate registry.

    The count of unreadable records is that of all cells in the process.
    """

    def __init__(self) -> None:
        registry = self.registry = CollectorRegistry()
        self.calls = Counter(
            "briarrun_calls",
            "Callers' requests, by customer, kind and status.",
            ("customer", "kind", "status"),
            registry=registry,
        )
        self.call_s = Histogram(
            "briarrun_call_seconds",
            "Time from a caller's request to its answer, by customer and kind.",
            ("customer", "kind"),
            buckets=_WAIT_BUCKETS_S,
            registry=registry,
        )
        self.start_wait_s = Histogram(
            "briarrun_start_wait_seconds",
            "Time from a job's due time to its first start, by customer and queue.",
            ("customer", "queue"),
            buckets=_WAIT_BUCKETS_S,
            registry=registry,
        )
        self.decision_s = Histogram(
            "briarrun_decision_seconds",
            "Time of one round of decisions.",
            buckets=_DECISION_BUCKETS_S,
            registry=registry,
        )
        self.holding = Gauge(
            "briarrun_holding", "1 while this VM holds the cell.", registry=registry
        )
        self.waiting_steps = Gauge(
            "briarrun_waiting_steps",
            "Steps with tasks that are due but not started, by reason; on the holder.",
            ("reason",),
            registry=registry,
        )
        self.waiting_oldest_s = Gauge(
            "briarrun_waiting_oldest_seconds",
            "Age of the longest wait of a step, by reason; on the holder.",
            ("reason",),
            registry=registry,
        )
        self.set_waits({}, {})
        self.customer_share_use = Gauge(
            "briarrun_customer_share_use",
            "Use of a customer in the last seconds, as a multiple of its share of the "
            "cell; on the holder.",
            ("customer",),
            registry=registry,
        )
        self.requeued_runs = Counter(
            "briarrun_requeued_runs",
            "Runs that were given up so that their tasks start again, by reason.",
            ("reason",),
            registry=registry,
        )
        self.stopped_runs = Counter(
            "briarrun_stopped_runs",
            "Runs that were ordered to stop, by reason.",
            ("reason",),
            registry=registry,
        )
        self.end_gaps = Counter(
            "briarrun_end_gaps",
            "Ends of runs that a worker forgot before the holder read them.",
            registry=registry,
        )
        self.evacuated_domains = Gauge(
            "briarrun_evacuated_failure_domains",
            "Failure domains whose evacuation is requested, as this VM knows.",
            registry=registry,
        )
        self.evacuated_workers = Gauge(
            "briarrun_evacuated_workers",
            "Workers that get no tasks because of an evacuation; on the holder.",
            registry=registry,
        )
        self.refusals = Counter(
            "briarrun_refusals",
            "Submissions and cancellations that were not stored, by reason.",
            ("reason",),
            registry=registry,
        )
        self.store_silent = Gauge(
            "briarrun_store_silent",
            "1 while the store answers no call of this VM.",
            registry=registry,
        )
        self.config_version = Gauge(
            "briarrun_config_version",
            "Version of the configuration in force.",
            registry=registry,
        )
        self.dropped_log_lines = Gauge(
            "briarrun_dropped_log_lines",
            "Log lines dropped since the last notice of it.",
            registry=registry,
        )
        self.client_connections = Gauge(
            "briarrun_client_connections",
            "Open connections of clients, by listener.",
            ("listener",),
            registry=registry,
        )
        self.client_bytes = Gauge(
            "briarrun_client_bytes",
            "Received bytes that are not answered and unsent bytes, by listener.",
            ("listener",),
            registry=registry,
        )
        self.client_limit = Gauge(
            "briarrun_client_limit",
            "Bounds on what clients hold, by listener and bound.",
            ("listener", "bound"),
            registry=registry,
        )
        self.shed_clients = Counter(
            "briarrun_shed_clients",
            "Connections and requests that were refused or closed at a bound.",
            ("listener", "bound", "action"),
            registry=registry,
        )
        registry.register(unreadable.RECORDS)

    def observe_call(
        self, customer: str, kind: str, status: int, seconds: float
    ) -> None:
        """Count an answered request and its time."""
        self.calls.labels(customer, kind, str(status)).inc()
        self.call_s.labels(customer, kind).observe(seconds)

    def observe_start(self, customer: str, queue: str, seconds: float) -> None:
        """Record the wait of a job for its first start."""
        self.start_wait_s.labels(customer, queue).observe(max(0.0, seconds))

    def observe_refusal(self, reason: str) -> None:
        """Count a submission or cancellation that was not stored."""
        self.refusals.labels(str(reason)).inc()

    def set_store_silent(self, silent: bool) -> None:
        """Record whether the store answers no call of this VM."""
        self.store_silent.set(int(silent))

    def observe_requeue(self, reason: str) -> None:
        """Count a run that was given up so that its task starts again."""
        self.requeued_runs.labels(reason).inc()

    def observe_stop(self, reason: str) -> None:
        """Count a run that was ordered to stop."""
        self.stopped_runs.labels(reason).inc()

    def observe_end_gap(self, ends: int) -> None:
        """Count ends of runs that a worker forgot before they were read."""
        self.end_gaps.inc(ends)

    def observe_shed(self, listener: str, bound: str, action: str, count: int) -> None:
        """Count clients that were refused or closed at a bound."""
        self.shed_clients.labels(listener, bound, action).inc(count)

    def export_clients(self, budget: ClientBudget) -> None:
        """Show what the clients of each listener hold, and the bounds on it."""
        bounds = budget.bounds
        for name, each in bounds.by_listener.items():
            self.client_connections.labels(name).set_function(
                partial(budget.connections, name)
            )
            self.client_bytes.labels(name).set_function(partial(budget.bytes, name))
            for bound, value in (
                (Bound.ADDRESS_CONNECTIONS, each.address_connections),
                (Bound.LISTENER_CONNECTIONS, each.connections),
                (Bound.PROCESS_CONNECTIONS, bounds.connections),
                (Bound.ADDRESS_BYTES, each.address_bytes),
                (Bound.LISTENER_BYTES, each.bytes),
                (Bound.PROCESS_BYTES, bounds.bytes),
            ):
                self.client_limit.labels(name, str(bound)).set(value)

    def set_waits(
        self,
        count_by_reason: Mapping[str, int],
        oldest_s_by_reason: Mapping[str, float],
    ) -> None:
        """Set the waiting steps and their oldest age; 0 for reasons left out."""
        for reason in REASONS:
            self.waiting_steps.labels(reason).set(count_by_reason.get(reason, 0))
            self.waiting_oldest_s.labels(reason).set(
                oldest_s_by_reason.get(reason, 0.0)
            )

    def set_share_use(self, use_by_customer: Mapping[str, float]) -> None:
        """Set the use of the customers; those left out are no longer shown."""
        self.customer_share_use.clear()
        for customer, use in use_by_customer.items():
            self.customer_share_use.labels(customer).set(use)

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return generate_latest(self.registry)
