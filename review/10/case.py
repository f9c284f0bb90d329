"""A new version is started beside a balancer whose QUIC front is on."""

import asyncio
import os
import signal
import socket
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "rig-2"))
from rig import TROUBLE, CannotRun, Client, Discovery, Gateway, Server, free_port, operator_call, run_case, settings  # noqa: E402

FRONT = """[quic]
listen = "127.0.0.1:{port}"
class = "c1"
deadline_ms = 2000
id_length = 12
rotation = 0
reset_key = "00112233445566778899aabbccddeeff"
paths = 64
idle_ms = 30000
"""


async def quic_answers(port):
    """Whether the front answers a first packet of an unknown version with a Version Negotiation packet."""
    probe = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    probe.bind(("127.0.0.1", 0))
    probe.settimeout(1.0)
    packet = b"\xc0\x1a\x2a\x3a\x4a\x08" + os.urandom(8) + b"\x08" + os.urandom(8)
    probe.sendto(packet.ljust(1200, b"\0"), ("127.0.0.1", port))
    try:
        reply = await asyncio.get_running_loop().run_in_executor(None, probe.recv, 2048)
        return reply[1:5] == b"\0\0\0\0"
    except OSError:
        return False
    finally:
        probe.close()


async def case(record, folder, gateways):
    servers = [await Server(f"s-{number}", record).start() for number in range(8)]
    agent = await Discovery(record, servers).start()
    gateway = Gateway(record, "n0", settings("pushed"), agent.port, agent.snapshot(), folder, inherit=True)
    gateways.append(gateway)
    front_port = free_port(socket.SOCK_DGRAM)
    front = Path(folder) / "quic.toml"
    front.write_text(FRONT.format(port=front_port), encoding="utf-8")
    arguments = f" --fronts {front}"
    clients, tasks = [], []

    async def arrivals():
        while True:
            client = Client(record, gateway.address)
            clients.append(client)
            tasks.append(asyncio.create_task(client.run()))
            await asyncio.sleep(1 / 9)

    old = gateway.start(operator=free_port(), arguments=arguments)
    await gateway.ready()
    coming = asyncio.create_task(arrivals())
    await asyncio.sleep(2)
    if not await quic_answers(front_port):
        raise CannotRun("the QUIC front does not answer")
    record("platform: the QUIC front answers")
    broken = []
    if TROUBLE:
        door = free_port()
        new = gateway.start(keep_tmp=True, operator=door, arguments=arguments)
        said_yes = False
        started = record.now()
        for _ in range(30):
            reply = await operator_call(door, "health")
            if new.poll() is not None:
                break
            if reply and reply.startswith("200"):
                said_yes = True
                break
            await asyncio.sleep(0.2)
        if new.poll() is not None:
            record(f"platform: the new process has exited with {new.returncode}; its log:")
            for line in (Path(folder) / "n0-1.log").read_text(encoding="utf-8").splitlines():
                record(f"    {line}")
            broken.append(f"crash: the new process exited with {new.returncode}; only the old one may exit")
        elif not said_yes:
            broken.append("crash: the new process did not say yes within 6 s")
        # The new process is given 6 s to say yes. Then the old one gets SIGTERM.
        if not said_yes:
            await asyncio.sleep(max(0.0, started + 6.0 - record.now()))
        gateway.signal(old, signal.SIGTERM)
        await asyncio.sleep(4.5)
        last = new
    else:
        await asyncio.sleep(6)
        last = old
    if last.poll() is not None:
        broken.append("crash: no process of the balancer is left")
    coming.cancel()
    return broken


run_case(HERE, case)
