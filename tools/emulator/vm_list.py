"""Stand-in for the platform's lagging list of VMs."""

from __future__ import annotations

import argparse
import time
from typing import Any

from briarrun_wire.http_types import HttpRequest, HttpResponse
from tools.emulator.base import StandIn, run_process


class VmListStandIn(StandIn):
    """Serve the list as it was ``list_lag_s`` ago; ``POST /v1/vms`` replaces it."""

    def __init__(self, name: str = "vms") -> None:
        super().__init__(name)
        self._history: list[tuple[float, list[dict[str, Any]]]] = [(time.time(), [])]

    def set_vms(self, vms: list[dict[str, Any]]) -> None:
        """Replace the list from now on."""
        self._history.append((time.time(), vms))
        self.record("vms", count=len(vms))

    async def serve(self, request: HttpRequest) -> HttpResponse:
        """Answer and replace the list."""
        match request.method, request.path:
            case "GET", "/v1/vms":
                shown = time.time() - self.faults.list_lag_s
                past = [vms for at, vms in self._history if at <= shown]
                vms = past[-1] if past else self._history[0][1]
                return HttpResponse.of_json(200, {"taken_at": shown, "vms": vms})
            case "POST", "/v1/vms":
                self.set_vms(request.json()["vms"])
                return HttpResponse.of_json(200, {})
        return HttpResponse.of_error(404, "invalid-request", request.path)


if __name__ == "__main__":
    run_process(
        argparse.ArgumentParser(description=__doc__),
        lambda name, _: VmListStandIn(name),
    )
