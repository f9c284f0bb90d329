"""A new version takes over while some connections are silent. Are these ended or moved within 7 s?

TROUBLE=1        some connections of a running server become silent, and a new version takes over
TROUBLE=0        neither
TROUBLE=quiet    only the silent connections
TROUBLE=upgrade  only the new version
"""

import asyncio
import os
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig"))
import rig  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1")
QUIET = TROUBLE in ("1", "quiet")
UPGRADE = TROUBLE in ("1", "upgrade")
CLIENTS = 60
QUIET_CLIENTS = 10
# PROTOCOL: every 2 s a client sends a line, and a sound connection returns a line at once.
INTERVAL = 2.0
# PROTOCOL: "one that returns nothing from a running reading server, within 7 s"; every time limit is 50 ms longer.
LIMIT = 7.05
# Time from the first unanswered line to the start of the new version. SIGTERM to the old one follows when it is ready.
UPGRADE_AFTER = 2.6
WATCHED = 14.0


class Client:
    """A client that sends a line every 2 s and measures the time without an answer."""

    def __init__(self, record, number):
        self.record, self.number, self.name = record, number, f"client {number}"
        self.id = f"{number:016x}"
        self.answer = ""
        self.end = ""
        self.waits_since = None
        self.longest_wait = 0.0
        self.returned = 0

    async def open(self, address):
        host, port = address.rsplit(":", 1)
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        line = f"OPEN {self.id} k{self.number} c=resident-reading,t=tobyl-energo,d=3200,g=g{self.number}"
        self.record(self.name, f"sends {line}")
        self.writer.write(line.encode() + b"\r\n")
        self.answer = (await asyncio.wait_for(self.reader.readline(), 5)).decode().strip()
        self.record(self.name, f"is answered {self.answer}")
        self.task = asyncio.create_task(self.listen())

    async def listen(self):
        try:
            while line := await self.reader.readline():
                text = line.decode().strip()
                if text == "MOVE":
                    self.end = "MOVE"
                else:
                    self.note_wait()
                    self.waits_since = None
                    self.returned += 1
        except OSError as error:
            self.end = self.end or type(error).__name__
        self.note_wait()
        self.end = self.end or "closed"
        self.record(self.name, f"its connection ended: {self.end}, {self.longest_wait:.2f} s after the first line "
                    "without an answer")

    def note_wait(self):
        if self.waits_since is not None:
            self.longest_wait = max(self.longest_wait, self.record.now() - self.waits_since)

    def send(self, beat):
        if not self.end:
            self.waits_since = self.waits_since or self.record.now()
            self.record(self.name, f"sends line {beat}")
            self.writer.write(f"LINE {beat}\r\n".encode())


async def run(record, fd):
    discovery = rig.Discovery(record)
    await discovery.start()
    servers = [rig.Server(record, name) for name in ("s-1", "s-2")]
    for server in servers:
        await server.start()
        discovery.add(server.name, server.address)
    gateway = rig.Gateway(record, discovery, rig.settings(), discovery.snapshot(), listener_fd=fd, operator=True)
    try:
        return await play(record, servers[0], gateway)
    finally:
        gateway.close()


async def play(record, server, gateway):
    old = gateway.start()
    if not await gateway.ready(old):
        raise rig.NotRun("the first process does not become ready")
    clients = [Client(record, number) for number in range(1, CLIENTS + 1)]
    for client in clients:
        await client.open(gateway.listen)
    if not all(client.answer.startswith("UP ") for client in clients):
        raise rig.NotRun("not all clients are established")
    # The last ones, because a gateway migrates the first ones from a server that it finds slow.
    quiet = [client for client in clients if client.answer.startswith(f"UP {server.name}-")][-QUIET_CLIENTS:]
    for beat in (1, 2):
        await asyncio.sleep(INTERVAL)
        for client in clients:
            client.send(beat)
    await asyncio.sleep(INTERVAL / 2)
    if QUIET:
        for client in quiet:
            record(server.name, f"{client.id} is silent from now on: it stays open and returns nothing; the server runs")
            server.quiet.add(client.id)
    await asyncio.sleep(INTERVAL / 2)
    start = record.now()
    upgrade = asyncio.create_task(take_over(record, gateway, old)) if UPGRADE else None
    beat = 0
    while record.now() - start < WATCHED:
        if record.now() - start >= beat * INTERVAL:
            for client in clients:
                client.send(beat + 3)
            beat += 1
        await asyncio.sleep(0.01)
    if upgrade:
        await upgrade
    ended = [client.end for client in clients]
    for client in clients:
        if not client.end:
            client.note_wait()
        record("checked", f"{client.name} on {client.answer[3:]}: {client.returned} lines returned, longest wait "
               f"{client.longest_wait:.2f} s, end: {client.end or 'open'}")
    cut = sum(end not in ("", "MOVE") for end in ended)
    late = [client for client in clients if client.longest_wait > LIMIT]
    worst = max(client.longest_wait for client in clients)
    if cut:
        return rig.BROKEN, f"{cut} of {len(clients)} connections were cut off without MOVE"
    if late:
        return rig.BROKEN, (f"{len(late)} of {len(quiet)} silent connections were neither ended nor moved within "
                            f"{LIMIT} s of their first unanswered line (the longest: {worst:.2f} s)")
    return rig.HELD, f"the longest time without an answer, an end or a move was {worst:.2f} s"


async def take_over(record, gateway, old):
    """Starts a new version beside the old process, and sends SIGTERM to the old one when the new one is ready."""
    await asyncio.sleep(UPGRADE_AFTER)
    new = gateway.start()
    if not await gateway.ready(new, 6.0):
        raise rig.NotRun("the new process is not ready within 6 s")
    await asyncio.sleep(0.2)
    gateway.signal(old, signal.SIGTERM)
    while old.poll() is None:
        await asyncio.sleep(0.02)
    record("platform", f"process {old.number} has ended with {old.returncode}")
    if new.poll() is not None:
        raise rig.NotRun("the new process has ended")


rig.main(run, Path(__file__).parent, inherit=True)
