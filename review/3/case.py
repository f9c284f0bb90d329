"""Two processes of one gateway during an upgrade: does a bad client that repeats an open request's id get an error?

TROUBLE=1  the new version runs beside the old one, which still has the request
TROUBLE=0  there is no new version: the same two clients meet one process
"""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig"))
import rig  # noqa: E402

# LATER: a bad client is owed an error or a close within 3 s; every limit is 50 ms longer.
OWED = 3.05


class Client:
    def __init__(self, record, name):
        self.record, self.name = record, name
        self.answer = None

    async def open(self, address, line, timeout):
        host, port = address.rsplit(":", 1)
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        self.record(self.name, f"sends {line}")
        self.writer.write(line.encode() + b"\r\n")
        started = self.record.now()
        try:
            self.answer = (await asyncio.wait_for(self.reader.readline(), timeout)).decode().strip() or "closed"
        except asyncio.TimeoutError:
            self.answer = "nothing"
        except OSError:
            self.answer = "closed"
        self.record(self.name, f"is answered {self.answer} after {self.record.now() - started:.3f} s")
        return self.answer


async def run(record, fd):
    discovery = rig.Discovery(record)
    await discovery.start()
    servers = [rig.Server(record, name) for name in ("s-1", "s-2")]
    for server in servers:
        await server.start()
        discovery.add(server.name, server.address)
    gateway = rig.Gateway(record, discovery, rig.settings(), discovery.snapshot(), listener_fd=fd, operator=True)
    try:
        return await play(record, servers, gateway)
    finally:
        gateway.close()


async def play(record, servers, gateway):
    old = gateway.start()
    if not await gateway.ready(old):
        raise rig.NotRun("the first process does not say yes")
    identity = "9b1f03aa5c7e2d41"
    usual, bad = Client(record, "usual client"), Client(record, "bad client")
    for server in servers:
        server.silent_to_open = True
    request = f"OPEN {identity} meter-77 c=resident-reading,t=tobyl-energo,d=3200,g=g77"
    waiting = asyncio.create_task(usual.open(gateway.listen, request, 4.0))
    until = record.now() + 1.0
    while not any(server.attempts for server in servers):
        if record.now() > until:
            raise rig.NotRun("the request did not reach a server")
        await asyncio.sleep(0.005)
    for server in servers:
        server.silent_to_open = False
    new = None
    if rig.trouble():
        new = gateway.start()
        if not await gateway.ready(new, 1.0):
            raise rig.NotRun("the new process does not say yes within 1 s")
        # The old process has heard of it, and leaves new clients to it.
        await asyncio.sleep(0.2)
    if usual.answer is not None:
        raise rig.NotRun("the usual client's request is no longer open")
    answer = await bad.open(gateway.listen, f"OPEN {identity} meter-13 c=resident-reading,t=belagash-su,d=3200,g=g13",
                            OWED)
    still_open = usual.answer is None
    out = sum(len(server.attempts) for server in servers)
    await waiting
    if new:
        gateway.signal(old, signal.SIGTERM)
        until = record.now() + 6.0
        while old.poll() is None and record.now() < until:
            await asyncio.sleep(0.02)
        if new.poll() is not None:
            raise rig.NotRun("the new process has ended")
    record("checked", f"attempts with id {identity} at the servers while its request was open: {out}")
    if not still_open:
        raise rig.NotRun("the usual client's request was not open for long enough")
    if answer.startswith("UP "):
        return rig.BROKEN, (f"the bad client with the id of another client's open request was served ({answer}); the "
                            f"servers got {out} attempts with this id, the first of which was still out")
    if answer == "nothing":
        return rig.BROKEN, "the bad client got neither an error nor a close within 3 s"
    return rig.HELD, f"the bad client was answered {answer}"


rig.main(run, Path(__file__).parent, inherit=True)
