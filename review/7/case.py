"""The balancers start with an old list; connections that were open at a newer server before the run come at once."""

import asyncio
import random
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "rig-2"))
from rig import TROUBLE, Client, Discovery, Gateway, Server, run_case, settings  # noqa: E402

RESTORE_TIME = 40.0         # "any that is not up after 40 s is lost"
RETRIES = 2                 # "up to 2 times, ... on some days at once"


class StandingClient(Client):
    """A client whose connection was open at `server` before the run. It asks, and twice more at once if it is not up."""

    def __init__(self, record, address, server):
        super().__init__(record, address, send_lines=False)
        self.server, self.key = server, self.id
        self.done = False

    async def run(self):
        for _ in range(1 + RETRIES):
            await self.ask()
            if self.answer.startswith("UP "):
                self.done = True
                await self.reader.read()
                return
            self.id = f"{random.getrandbits(64):016x}"
        self.done = True

    async def ask(self):
        self.reader, writer = await asyncio.open_connection(*self.address)
        line = f"OPEN {self.id} {self.key} c=c1,t=t1,d={self.wait_ms},at={self.server}"
        writer.write(line.encode() + b"\r\n")
        self.record(f"client {self.id}: sent '{line}'")
        answer = await self.reader.readline()
        self.answer = answer.decode("latin-1").strip() or "closed without an answer"
        self.record(f"client {self.id}: answered '{self.answer}'")
        self.writer = writer
        if not self.answer.startswith("UP "):
            writer.close()


async def case(record, folder, gateways):
    servers = [await Server(f"s-{number}", record).start() for number in range(9)]
    discovery = await Discovery(record, servers).start()
    known = discovery.snapshot()
    if TROUBLE:
        # The list as the balancers had it before the last server was switched on.
        known = {**known, "index": 9, "endpoints": known["endpoints"][:-1]}
    clients, tasks = [], []
    for index in range(3):
        gateway = Gateway(record, f"n{index}", settings("on_request", balancers=3, index=index), discovery.port, known,
                          folder)
        gateways.append(gateway)
        gateway.start()
    for gateway in gateways:
        await gateway.ready()
    for gateway in gateways:
        for server in servers:
            client = StandingClient(record, gateway.address, server.name)
            clients.append(client)
            tasks.append(asyncio.create_task(client.run()))

    # The run starts once all are up, or after 40 s.
    for _ in range(int(RESTORE_TIME * 10)):
        await asyncio.sleep(0.1)
        if all(client.done for client in clients) and len(discovery.watchers) == 3:
            break
    record(f"discovery: {len(discovery.watchers)} balancers have an open watch, with the whole list")
    await asyncio.sleep(1.0)
    broken = [f"lost: the connection of flow {client.key} at {client.server}, which runs and is listed, is not up: "
              f"{client.answer}" for client in clients if not (client.answer or "").startswith("UP ")]
    for task in tasks:
        task.cancel()
    return broken


run_case(HERE, case)
