"""Lists are pushed. A server comes back cold while the balancer is restarted, then discovery goes down."""

import asyncio
import math
import random
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "rig-2"))
from rig import TROUBLE, CannotRun, Client, Discovery, Gateway, Server, run_case, settings  # noqa: E402

SERVERS = 8                 # "8 to 10 feed servers and 1 to 2 balancers"
FULL = 132                  # connections that fill a server of six cores; "8.2 to 22 fill one core"
LOAD = 0.44                 # of what all servers can do; 0.36 to 0.44 on the site's days of trouble
RETURN = (0.1, 1.1)         # "After a break clients come again within 100 to 1,100 ms"
OUTAGE = 8.0                # "discovery is down for 8 s"
COLD_FROM, WARM_WITHIN = 0.33, 8.9
FALL_MULTIPLE, WINDOW = 2.5, 1.5


def allowed(age):
    """N + 3 root N + 3 requests in the window (N + 2 root N + 2 from N = 30 on), at this age of a cold server."""
    share = COLD_FROM + (1 - COLD_FROM) * min(1.0, age / WARM_WITHIN)
    n = FALL_MULTIPLE * share * FULL / WARM_WITHIN * WINDOW
    return n + 3 * math.sqrt(n) + 3 if n < 30 else n + 2 * math.sqrt(n) + 2


class ColdServer(Server):
    """A reading server that may be restarted, is cold then, and falls over and stays down if it is sent too much."""

    started_at = None
    fallen = None

    def restart(self):
        for writer in list(self.connections.values()):
            writer.transport.abort()
        self.since_ms = int(time.time() * 1000)
        self.started_at = self.record.now()
        self.first_bytes.clear()
        self.record(f"server {self.name}: has restarted and is cold")

    async def serve(self, reader, writer):
        if self.fallen is not None:
            writer.transport.abort()
            return
        await super().serve(reader, writer)

    def check(self):
        """Falls over once the requests in the last window exceed what the settings allow at its age by then."""
        if self.started_at is None or self.fallen is not None:
            return
        now = self.record.now()
        if now - self.started_at > WARM_WITHIN:
            return
        recent = sum(1 for at, _ in self.first_bytes if at > now - WINDOW)
        limit = allowed(now - self.started_at)
        if recent > limit:
            self.fallen = (now - self.started_at, recent, limit)
            self.record(f"server {self.name}: falls over: {recent} requests in {WINDOW} s, {limit:.1f} at most at the "
                        f"age of {now - self.started_at:.2f} s")
            self.listener.close()
            for writer in list(self.connections.values()):
                writer.transport.abort()


async def case(record, folder, gateways):
    servers = [await ColdServer(f"s-{number}", record).start() for number in range(SERVERS)]
    agent = await Discovery(record, servers).start()
    gateway = Gateway(record, "n0", settings("pushed"), agent.port, agent.snapshot(), folder)
    # The descriptors beyond those of the standing connections are 1,024.
    standing = int(LOAD * SERVERS * FULL)
    gateway.config["limits"] = {"cores": 1.0, "memory_mb": 256, "sockets": 1024 + 2 * standing}
    gateways.append(gateway)
    clients, tasks = [], []

    def come():
        client = Client(record, gateway.address)
        clients.append(client)
        tasks.append(asyncio.create_task(client.run()))

    process = gateway.start()
    await gateway.ready()
    for _ in range(standing):
        come()
        await asyncio.sleep(0.012)
    await asyncio.sleep(1)
    open_before = sum(len(server.connections) for server in servers)
    record(f"clients: {open_before} connections stand, {FULL} would fill each of {SERVERS} servers")
    if open_before < 0.9 * standing:
        raise CannotRun("too few connections stand")

    # The balancer is killed outright. What it had last is what `known` tells it at its next start.
    gateway.signal(process, signal.SIGKILL)
    process.wait()
    await asyncio.sleep(0.3)
    cold = servers[0]
    cold.restart()
    await asyncio.sleep(0.4)
    agent.change(cold)
    await asyncio.sleep(0.2)
    if TROUBLE:
        agent.silent = True
        record("discovery: is down; the agent is silent")

        def up_again():
            agent.silent = False
            record("discovery: is back")
        asyncio.get_running_loop().call_later(OUTAGE, up_again)
    await asyncio.sleep(0.1)
    gateway.start()
    await gateway.ready()

    # The front admits the balancer again, and the clients come again.
    async def returns():
        await asyncio.sleep(random.uniform(*RETURN))
        come()

    tasks.extend(asyncio.create_task(returns()) for _ in range(open_before))
    end = record.now() + 9.0
    while record.now() < end:
        cold.check()
        await asyncio.sleep(0.01)
    record(f"server {cold.name}: got {len(cold.first_bytes)} requests since its start")
    if cold.fallen is None:
        return []
    age, recent, limit = cold.fallen
    return [f"failback: {cold.name} fell over at the age of {age:.2f} s: {recent} requests in {WINDOW} s, at most "
            f"{limit:.1f}; all came from the balancer, which counts as told of the start"]


run_case(HERE, case)
