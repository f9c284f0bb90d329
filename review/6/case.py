"""Lists are pushed. A server's drain reaches the agent while the balancer is restarted, then discovery goes down."""

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "rig-2"))
from rig import TROUBLE, Client, CannotRun, Discovery, Gateway, Server, run_case, settings  # noqa: E402

OUTAGE = 8.0                # "discovery is down for 8 s"
GRACE = 2.0 + 0.05          # stopSendingWithin, and "every time limit is 50 ms longer"


async def case(record, folder, gateways):
    servers = [await Server(f"s-{number}", record).start() for number in range(8)]
    agent = await Discovery(record, servers).start()
    known = agent.snapshot()
    gateway = Gateway(record, "n0", settings("pushed"), agent.port, known, folder)
    gateways.append(gateway)
    clients, tasks = [], []

    async def arrivals(seconds, per_s):
        for _ in range(int(seconds * per_s)):
            client = Client(record, gateway.address)
            clients.append(client)
            tasks.append(asyncio.create_task(client.run()))
            await asyncio.sleep(1 / per_s)

    process = gateway.start()
    await gateway.ready()
    await arrivals(3, 9)
    if not any(client.answer and client.answer.startswith("UP") for client in clients):
        raise CannotRun("no client was served before the trouble")

    # The balancer is killed outright. What it had last is what `known` tells it at its next start.
    gateway.signal(process, signal.SIGKILL)
    process.wait()
    await asyncio.sleep(0.5)
    draining = servers[:2]
    for server in draining:
        server.status = "DRAINING"
    agent.change(*draining)
    await asyncio.sleep(0.3)
    if TROUBLE:
        agent.silent = True
        record("discovery: is down; the agent is silent")
        asyncio.get_running_loop().call_later(OUTAGE, up_again, record, agent)
    await asyncio.sleep(0.2)
    gateway.start()
    started = record.now()
    await gateway.ready()
    await arrivals(10, 9)
    await asyncio.sleep(2.5)

    late = [(at, server.name, request) for server in draining for at, request in server.first_bytes
            if at > started + GRACE]
    record(f"platform: the new process began at {started:.3f}; its grace ended at {started + GRACE:.3f}")
    return [f"drain: {name} got the new request {request} at {at:.3f}, {at - started:.2f} s after the change counted "
            "as told" for at, name, request in sorted(late)]


def up_again(record, agent):
    agent.silent = False
    record("discovery: is back")


run_case(HERE, case)
