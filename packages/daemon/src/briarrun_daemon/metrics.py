"""Prometheus metrics of one daemon."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.core import CounterMetricFamily, Metric
from prometheus_client.exposition import generate_latest
from prometheus_client.registry import Collector

from briarrun_wire.peer import TrafficCount

_WAIT_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.2, 2.5, 5.0, 15.0)
_DECISION_BUCKETS_S = (0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.1, 0.5)


class _TrafficCollector(Collector):
    def __init__(self, read: Callable[[], Mapping[str, TrafficCount]]) -> None:
        self._read = read

    def collect(self) -> Iterable[Metric]:
        family = CounterMetricFamily(
            "briarrun_peer_bytes",
            "Payload bytes exchanged with peers, by their region.",
            labels=("region", "direction"),
        )
        for region, count in self._read().items():
            family.add_metric((region, "sent"), count.bytes_sent)
            family.add_metric((region, "received"), count.bytes_received)
        yield family


class Metrics:
    """Metrics of one daemon in a registry of their own."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        registry = self.registry
        self._request_children: dict[
            tuple[str, str, str], tuple[Counter, Histogram]
        ] = {}
        self._wait_children: dict[tuple[str, str], Histogram] = {}
        self.requests = Counter(
            "briarrun_requests",
            "Requests answered, by team, urgency and outcome.",
            ("team", "urgency", "outcome"),
            registry=registry,
        )
        self.request_wait_s = Histogram(
            "briarrun_request_wait_seconds",
            "Time from acceptance to the grant of a slot, by team and urgency.",
            ("team", "urgency"),
            buckets=_WAIT_BUCKETS_S,
            registry=registry,
        )
        self.request_total_s = Histogram(
            "briarrun_request_seconds",
            "Time from acceptance to the answer, by team and urgency.",
            ("team", "urgency"),
            buckets=_WAIT_BUCKETS_S,
            registry=registry,
        )
        self.start_wait_s = Histogram(
            "briarrun_start_wait_seconds",
            "Time from a job's acceptance to a task's start, by team and urgency.",
            ("team", "urgency"),
            buckets=_WAIT_BUCKETS_S,
            registry=registry,
        )
        self.decision_s = Histogram(
            "briarrun_decision_seconds",
            "Time of one round of scheduling decisions.",
            buckets=_DECISION_BUCKETS_S,
            registry=registry,
        )
        self.decisions = Counter(
            "briarrun_decisions",
            "Scheduling decisions, by kind and result.",
            ("kind", "result"),
            registry=registry,
        )
        self.log_reads = Counter(
            "briarrun_log_reads", "Reads of the log.", ("result",), registry=registry
        )
        self.log_appends = Counter(
            "briarrun_log_appends",
            "Appends to the log.",
            ("result",),
            registry=registry,
        )
        self.peer_messages = Counter(
            "briarrun_peer_messages",
            "Messages exchanged with peers.",
            ("direction", "kind"),
            registry=registry,
        )
        self.holding = Gauge(
            "briarrun_holding",
            "1 while this daemon may act for its failure domain.",
            registry=registry,
        )
        self.generation = Gauge(
            "briarrun_generation", "Configuration generation.", registry=registry
        )
        self.epoch = Gauge("briarrun_epoch", "Epoch of the domain.", registry=registry)
        self.in_flight = Gauge(
            "briarrun_requests_in_flight",
            "Callers' requests being served.",
            registry=registry,
        )

    def observe_request(
        self, team: str, urgency: str, outcome: str, seconds: float
    ) -> None:
        """Count an answered request and record its total time."""
        key = (team, urgency, outcome)
        children = self._request_children.get(key)
        if children is None:
            children = (
                self.requests.labels(*key),
                self.request_total_s.labels(team, urgency),
            )
            self._request_children[key] = children
        children[0].inc()
        children[1].observe(seconds)

    def observe_wait(self, team: str, urgency: str, seconds: float) -> None:
        """Record how long a request waited for its slot."""
        child = self._wait_children.get((team, urgency))
        if child is None:
            child = self.request_wait_s.labels(team, urgency)
            self._wait_children[(team, urgency)] = child
        child.observe(seconds)

    def export_traffic(self, read: Callable[[], Mapping[str, TrafficCount]]) -> None:
        """Export the traffic with peers by region, because it is billed by volume."""
        self.registry.register(_TrafficCollector(read))

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return generate_latest(self.registry)
