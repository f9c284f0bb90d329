"""Bad clients send the ids of other clients' open requests while a new version takes over."""

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "rig-2"))
from rig import TROUBLE, CannotRun, Client, Discovery, Gateway, Server, free_port, operator_call, run_case, settings  # noqa: E402


class BadClient(Client):
    """Sends the id of an open request of another client, and leaves when it is answered."""

    def __init__(self, record, address, stolen):
        super().__init__(record, address, send_lines=False)
        self.id = stolen

    async def run(self):
        reader, writer = await asyncio.open_connection(*self.address)
        writer.write(f"OPEN {self.id} feedfeedfeedfeed c=c1,t=t1,d={self.wait_ms}\r\n".encode())
        self.sent_at = self.record.now()
        self.record(f"bad client: sent the id of the open request {self.id}")
        try:
            line = await asyncio.wait_for(reader.readline(), 3.0)
            self.answer = line.decode("latin-1").strip() or "closed"
        except asyncio.TimeoutError:
            self.answer = "nothing within 3 s"
        except ConnectionError:
            self.answer = "closed"
        self.record(f"bad client with {self.id}: got '{self.answer}'")
        self.writer = writer


async def case(record, folder, gateways):
    servers = [await Server(f"s-{number}", record).start() for number in range(8)]
    agent = await Discovery(record, servers).start()
    gateway = Gateway(record, "n0", settings("pushed"), agent.port, agent.snapshot(), folder, inherit=True)
    gateways.append(gateway)
    clients, tasks, bad = [], [], []

    old = gateway.start(operator=free_port())
    await gateway.ready()
    for _ in range(27):
        client = Client(record, gateway.address)
        clients.append(client)
        tasks.append(asyncio.create_task(client.run()))
        await asyncio.sleep(1 / 9)
    await asyncio.sleep(1)
    standing = [client for client in clients if client.answer.startswith("UP") and client.end is None]
    if len(standing) < 12:
        raise CannotRun("too few connections stand")

    async def attack(victims):
        for victim in victims:
            client = BadClient(record, gateway.address, victim.id)
            bad.append((client, victim))
            tasks.append(asyncio.create_task(client.run()))
            await asyncio.sleep(0.1)
        await asyncio.sleep(1)

    await attack(standing[:4])
    if TROUBLE:
        door = free_port()
        gateway.start(keep_tmp=True, operator=door)
        for _ in range(30):
            reply = await operator_call(door, "health")
            if reply and reply.startswith("200"):
                break
            await asyncio.sleep(0.2)
        else:
            raise CannotRun("the new process did not say yes within 6 s")
        record("platform: the new process says yes")
    await attack(standing[4:12])
    if TROUBLE:
        gateway.signal(old, signal.SIGTERM)
        await asyncio.sleep(4)
    broken = []
    for client, victim in bad:
        if client.answer.startswith("UP "):
            taken = [f"{server.name} at {at:.3f}" for server in servers for at, request in server.first_bytes
                     if request == client.id]
            broken.append(f"lost: a bad client was served with the id of the open request {client.id} (sent to "
                          f"{' and '.join(taken)}; its own client's connection: {victim.end or 'stands'})")
        elif client.answer.startswith("nothing"):
            broken.append(f"lost: a bad client got neither an error nor a close: {client.id}")
    return broken


run_case(HERE, case)
