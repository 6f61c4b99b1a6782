"""Shared components that the holder's components depend on."""

from __future__ import annotations

from dataclasses import dataclass

from briarrun_adapters.upstream import UpstreamClient
from briarrun_adapters.worker import WorkerClient
from briarrun_daemon.authority_role import AuthorityRole
from briarrun_daemon.clock import Clock
from briarrun_daemon.directory import Directory
from briarrun_daemon.log_tail import LogTail
from briarrun_daemon.metrics import Metrics
from briarrun_daemon.peers import Peers
from briarrun_daemon.settings import Settings


@dataclass(frozen=True, slots=True)
class Context:
    """Shared components of one daemon."""

    settings: Settings
    instance: str
    clock: Clock
    role: AuthorityRole
    tail: LogTail
    peers: Peers
    directory: Directory
    metrics: Metrics
    workers: WorkerClient
    upstreams: UpstreamClient
