"""Tests of the peer network: calls, foreign keys, silent connections, queue limits."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import pytest
import zmq
import zmq.asyncio

from briarrun_wire.messages import (
    ConfigDocument,
    ConfigRequest,
    HeartbeatAck,
    JobQuery,
    PeerMessage,
    RequestQuery,
    SlotRelease,
)
from briarrun_wire.peer import (
    CallFailureKind,
    PeerAddress,
    PeerHandler,
    PeerNetwork,
    PeerSettings,
)
from briarrun_wire.peer_link import try_send
from tools.emulator.relay import Relay

KEYS = zmq.curve_keypair()
FOREIGN_KEYS = zmq.curve_keypair()


@dataclass
class Recorder(PeerHandler):
    """Handler that records messages and replies after the delay given in the call."""

    messages: list[tuple[str, PeerMessage]] = field(default_factory=list)
    calls: int = 0

    def on_message(self, sender: str, message: PeerMessage) -> None:
        self.messages.append((sender, message))

    async def on_call(self, sender: str, message: PeerMessage) -> PeerMessage | None:
        self.calls += 1
        if isinstance(message, JobQuery):
            await asyncio.sleep(float(message.job_id))
            document = {"of": message.job_id}
            return ConfigDocument(generation=1, offset=0, document=document)
        if isinstance(message, RequestQuery):
            raise ValueError("broken")
        return ConfigDocument(generation=2, offset=0, document={})


@dataclass
class Vm:
    """Running peer network with its recorder."""

    network: PeerNetwork
    recorder: Recorder


class Fleet:
    """Peer networks and relays of a test."""

    def __init__(self) -> None:
        self.vms: list[Vm] = []
        self.relays: list[Relay] = []

    async def vm(
        self,
        name: str,
        keys: tuple[bytes, bytes] = KEYS,
        queue: int = 1000,
        port: int = 0,
    ) -> Vm:
        recorder = Recorder()
        settings = PeerSettings(
            instance=f"{name}.i1",
            bind_host="127.0.0.1",
            bind_port=port,
            public_key=keys[0].decode(),
            secret_key=keys[1].decode(),
            max_queued_messages=queue,
        )
        vm = Vm(PeerNetwork(settings, recorder), recorder)
        await vm.network.start()
        self.vms.append(vm)
        return vm

    async def relay(self, target: str) -> Relay:
        relay = Relay(target)
        await relay.start()
        self.relays.append(relay)
        return relay

    async def close(self) -> None:
        for relay in self.relays:
            await relay.close()
        for vm in self.vms:
            await vm.network.close()


@pytest.fixture
async def fleet() -> AsyncIterator[Fleet]:
    started = Fleet()
    yield started
    await started.close()


def connect(vm: Vm, name: str, address: str) -> None:
    vm.network.set_peers([PeerAddress(name, address, "zagreb", "eu")])


async def wait_until_connected(vm: Vm, name: str, within_s: float = 2.0) -> None:
    async with asyncio.timeout(within_s):
        while not vm.network.is_connected(name):  # noqa: ASYNC110 - state has no event
            await asyncio.sleep(0.01)


async def test_out_of_order_replies_reach_their_calls(fleet: Fleet) -> None:
    """Replies that arrive out of order must reach their own calls."""
    a, b = await fleet.vm("a"), await fleet.vm("b")
    connect(a, "b", b.network.address)
    await wait_until_connected(a, "b")
    delays = ["0.2", "0.0", "0.1", "0.05"]
    replies = await asyncio.gather(
        *(a.network.call("b", JobQuery(job_id=d), 1.0) for d in delays)
    )
    assert [r.ok.document["of"] for r in replies] == delays  # type: ignore[union-attr]


async def test_late_reply_is_dropped(fleet: Fleet) -> None:
    """A reply after the time-out must not be returned for a later call."""
    a, b = await fleet.vm("a"), await fleet.vm("b")
    connect(a, "b", b.network.address)
    await wait_until_connected(a, "b")
    late = await a.network.call("b", JobQuery(job_id="0.15"), 0.05)
    assert late.error.kind is CallFailureKind.TIMEOUT and late.error.sent
    broken = await a.network.call("b", RequestQuery(request_id="r"), 0.15)
    assert broken.is_error() and broken.error.sent
    fresh = await a.network.call("b", ConfigRequest(), 1.0)
    assert fresh.ok.generation == 2  # type: ignore[union-attr]


async def test_messages_and_replies_carry_the_sender(fleet: Fleet) -> None:
    """Receivers must see the sender's instance id, which changes at each restart."""
    a, b = await fleet.vm("a"), await fleet.vm("b")
    connect(a, "b", b.network.address)
    await wait_until_connected(a, "b")
    release = SlotRelease(grant_id="g", outcome="done")
    assert a.network.send("b", release)
    await asyncio.sleep(0.1)
    assert b.recorder.messages == [("a.i1", release)]
    ack = HeartbeatAck(sender="b.i1", sent_at=1.0, promise=True, generation=0)
    assert b.network.reply("a.i1", ack)
    assert not b.network.reply("a.i2", ack), "another incarnation is another instance"
    await asyncio.sleep(0.1)
    assert a.recorder.messages == [("b.i1", ack)]
    sent = a.network.traffic_by_region["eu"]
    assert sent.messages_sent >= 2 and sent.bytes_sent > 0 and sent.bytes_received > 0


async def test_call_without_connection_is_not_sent(fleet: Fleet) -> None:
    """Without a connection the call must be reported as not sent."""
    a = await fleet.vm("a")
    connect(a, "b", "127.0.0.1:1")
    result = await a.network.call("b", ConfigRequest(), 0.5)
    assert result.error.kind is CallFailureKind.NOT_CONNECTED
    assert not result.error.sent
    assert (await a.network.call("c", ConfigRequest(), 0.5)).error.sent is False


async def test_foreign_key_is_rejected(fleet: Fleet) -> None:
    """Messages from peers without the fleet's secret key must be rejected."""
    b = await fleet.vm("b")
    foreign = await fleet.vm("a", FOREIGN_KEYS)
    connect(foreign, "b", b.network.address)
    context = zmq.asyncio.Context()
    plain = context.socket(zmq.DEALER)
    plain.connect(f"tcp://{b.network.address}")
    # This client knows the fleet's public key, but not its secret key.
    public_key_only = context.socket(zmq.DEALER)
    public_key_only.curve_serverkey, (
        public_key_only.curve_publickey,
        public_key_only.curve_secretkey,
    ) = (
        KEYS[0],
        FOREIGN_KEYS,
    )
    public_key_only.setsockopt(zmq.IDENTITY, b"a.i1#1")
    public_key_only.connect(f"tcp://{b.network.address}")
    for _ in range(5):
        for socket in (plain, public_key_only):
            try_send(socket, [b"\x91\xa4ping"])
        foreign.network.send("b", ConfigRequest(call_id=1))
        await asyncio.sleep(0.1)
    assert b.recorder.calls == 0 and b.recorder.messages == []
    assert b.network.traffic_by_vm == {}
    assert not foreign.network.is_connected("b")
    host, _, port = b.network.address.rpartition(":")
    _, writer = await asyncio.open_connection(host, int(port))
    writer.write(b"GET / HTTP/1.1\r\n\r\n" * 100)
    member = await fleet.vm("c")
    connect(member, "b", b.network.address)
    await wait_until_connected(member, "b")
    writer.close()
    context.destroy(linger=0)


async def test_silent_connection_is_replaced(fleet: Fleet) -> None:
    """An open connection may stop working for good while new connections work."""
    a, b = await fleet.vm("a"), await fleet.vm("b")
    relay = await fleet.relay(b.network.address)
    connect(a, "b", relay.address)
    await wait_until_connected(a, "b")
    relay.silence_open_connections()
    a.network.send("b", SlotRelease(grant_id="lost", outcome="done"))
    began = asyncio.get_running_loop().time()
    reply = None
    while reply is None or reply.is_error():
        reply = await a.network.call("b", ConfigRequest(), 0.05)
        assert asyncio.get_running_loop().time() - began < 1.0
    assert relay.accepted >= 2
    assert ("a.i1", SlotRelease(grant_id="lost", outcome="done")) not in (
        b.recorder.messages
    )
    assert b.network.reply(
        "a.i1", HeartbeatAck(sender="b.i1", sent_at=1, promise=False, generation=0)
    )
    await asyncio.sleep(0.1)
    assert len(a.recorder.messages) == 1, "replies must use the new connection"


async def test_queue_to_a_stalled_peer_is_bounded(fleet: Fleet) -> None:
    """A peer that stops reading must not exhaust the sender's memory."""
    a, b = await fleet.vm("a", queue=10), await fleet.vm("b")
    relay = await fleet.relay(b.network.address)
    connect(a, "b", relay.address)
    await wait_until_connected(a, "b")
    relay.stall()
    release = SlotRelease(grant_id="g" * 100_000, outcome="done")
    results = [a.network.send("b", release) for _ in range(500)]
    assert not all(results)
    assert a.network.traffic_by_vm["b"].messages_dropped > 0


async def test_connection_recovers_after_a_refused_handshake(fleet: Fleet) -> None:
    """A VM must be reachable again after another fleet's VM used its address."""
    a, foreign = await fleet.vm("a"), await fleet.vm("b", FOREIGN_KEYS)
    address = foreign.network.address
    connect(a, "b", address)
    await asyncio.sleep(0.4)
    assert not a.network.is_connected("b")
    await foreign.network.close()
    await fleet.vm("b", port=int(address.rpartition(":")[2]))
    await wait_until_connected(a, "b", 4.0)
    assert (await a.network.call("b", ConfigRequest(), 0.5)).is_ok()
