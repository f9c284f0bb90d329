"""Control of the QUIC server process: kill, hang, recover."""

import asyncio
import signal
import socket
import subprocess
import sys
from pathlib import Path

import rig


class Server:
    """A QUIC reading server, run as a process."""

    def __init__(self, record, name, delay):
        self.record, self.name, self.delay = record, name, delay
        self.port = rig.free_port(socket.SOCK_DGRAM)
        self.events = []

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, str(Path(__file__).with_name("quic_server.py")), self.name, str(self.port),
            str(self.delay), stdout=subprocess.PIPE, preexec_fn=rig.end_with_parent)
        if (await self.process.stdout.readline()).strip() != b"listening":
            raise rig.NotRun("the stand-in server is not listening")
        self.task = asyncio.create_task(self.read())

    async def read(self):
        while line := (await self.process.stdout.readline()).decode().split():
            self.events.append((self.record.now(), line[0], line[1]))
            self.record(self.name, f"{line[0]} {line[1]}")

    def received(self):
        return [event for event in self.events if event[1] == "received"]

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    def hang(self):
        """Makes the server read datagrams and answer none."""
        self.signal(signal.SIGUSR1)

    def recover(self):
        self.signal(signal.SIGUSR2)

    def kill(self):
        self.signal(signal.SIGKILL)
