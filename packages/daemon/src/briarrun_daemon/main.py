"""The command ``briarrund``."""

from __future__ import annotations

import argparse
import asyncio
import gc
import signal
import sys
from collections.abc import Sequence
from pathlib import Path

import uvloop
from expression import Result

from briarrun_adapters.log_service import HttpLogService
from briarrun_adapters.upstream import HttpUpstreamClient
from briarrun_adapters.vm_list import HttpVmList
from briarrun_adapters.worker import HttpWorkerClient
from briarrun_daemon.clock import Clock
from briarrun_daemon.daemon import Adapters, Daemon, new_instance
from briarrun_daemon.drain import ExitCode
from briarrun_daemon.logs import start_logging
from briarrun_daemon.peers import PeerTransport
from briarrun_daemon.settings import (
    Settings,
    read_settings,
    schema_text,
    split_address,
)
from briarrun_wire.http_client import HttpPool, PoolLimits
from briarrun_wire.peer import PeerHandler, PeerNetwork
from briarrun_wire.peer import PeerSettings as NetworkSettings


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the daemon and return its exit status."""
    parser = argparse.ArgumentParser(
        prog="briarrund", description="Entry VM daemon of briarrun."
    )
    parser.add_argument("settings", nargs="?", type=Path, metavar="SETTINGS.json")
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    parser.add_argument(
        "--schema", action="store_true", help="print the settings' JSON schema and exit"
    )
    options = parser.parse_args(arguments)
    if options.schema:
        sys.stdout.write(schema_text())
        return ExitCode.DRAINED
    if options.settings is None:
        parser.error("SETTINGS.json is required")
    match read_settings(options.settings):
        case Result(tag="ok", ok=settings):
            if options.check:
                return ExitCode.DRAINED
            return uvloop.run(run_daemon(settings))
        case Result(error=messages):
            for message in messages:
                sys.stderr.write(f"{message}\n")
            return ExitCode.INVALID_SETTINGS


async def run_daemon(settings: Settings) -> ExitCode:
    """Run a daemon until it is drained by SIGTERM or by an operator."""
    instance = new_instance(settings.vm_id)
    start_logging(instance)
    connect_timeout_s = settings.timing.upstream_connect_timeout_s
    pool = HttpPool(PoolLimits(connect_timeout_s=connect_timeout_s))
    # An upstream accepts 64 connections from all front ends together. Slots limit the
    # busy ones; idle connections kept by every front end would use up the rest.
    upstream_pool = HttpPool(
        PoolLimits(connect_timeout_s=connect_timeout_s, idle_timeout_s=0.1, max_idle=4)
    )
    daemon = Daemon(
        settings,
        Adapters(
            log=HttpLogService(settings.log_service, pool),
            vm_list=HttpVmList(settings.vm_list, pool) if settings.vm_list else None,
            workers=HttpWorkerClient(pool),
            upstreams=HttpUpstreamClient(upstream_pool),
        ),
        lambda name, handler: _make_network(settings, name, handler),
        Clock(asyncio.get_running_loop()),
        instance,
    )
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, daemon.drain.on_signal)
    # Objects created during start-up live as long as the process. Freezing them avoids
    # garbage collection pauses of several milliseconds.
    gc.collect()
    gc.freeze()
    try:
        return await daemon.run()
    finally:
        await pool.close()
        await upstream_pool.close()


def _make_network(
    settings: Settings, instance: str, handler: PeerHandler
) -> PeerTransport:
    host, port = split_address(settings.peer_listen)
    return PeerNetwork(
        NetworkSettings(
            instance=instance,
            bind_host=host,
            bind_port=port,
            public_key=settings.fleet_key.public,
            secret_key=settings.fleet_key.secret,
            silence_s=settings.timing.peer_silence_s,
        ),
        handler,
    )


if __name__ == "__main__":
    sys.exit(main())
