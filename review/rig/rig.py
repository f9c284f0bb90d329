"""Stand-ins and process control shared by the review's cases.

Everything runs on loopback, on free ports and in a temporary folder. The gateway is started with the command `run` of
`deploy/balancer.toml`. Discovery, servers and clients are stand-ins that follow the protocol pages.
"""

import asyncio
import ctypes
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]

HELD, BROKEN, NOT_RUN = 0, 1, 2


class NotRun(Exception):
    """The case could not run and has no verdict."""


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Log of what was sent, answered and run, in seconds since the start of the test."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, who, what):
        line = f"{self.now():9.3f}  {who:<12} {what}"
        self.file.write(line + "\n")
        self.file.flush()
        if os.environ.get("SHOW"):
            print(line)


def command(key):
    """Returns a command of the deploy file."""
    text = (ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8")
    found = re.search(rf'^{key} = "(.*)"$', text, re.MULTILINE)
    if not found:
        raise NotRun(f"deploy/balancer.toml has no key {key}")
    return found.group(1)


def short_temporary_folder():
    """A folder for temporary files; the paths of the processes' sockets in it must stay under 108 bytes."""
    folder = tempfile.gettempdir()
    return "/tmp" if len(folder) > 40 and os.access("/tmp", os.W_OK) else folder


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def settings(**changes):
    """Settings of a small deployment, with the names and units of the platform's settings."""
    classes = [
        {"name": "resident-reading", "aim": 0.8, "deadline": 3.2, "effect": "pure", "group": "all", "keyTtl": 5.0,
         "lateWorth": 0.0, "stream": True, "worth": 2.0},
        {"name": "route-sync", "aim": 0.8, "deadline": 4.8, "effect": "pure", "group": "all", "keyTtl": 5.0,
         "lateWorth": 0.0, "stream": True, "worth": 3.0},
    ]
    document = {
        "azs": ["almaty", "astana", "karaganda"], "zone": "almaty", "balancers": 1, "index": 0,
        "classes": classes, "clients": {"marksRetry": True}, "discovery": "on_request", "family": "conn",
        "customers": [{"name": "tobyl-energo", "quotaPerS": 1.0, "share": 0.6},
                      {"name": "belagash-su", "quotaPerS": 1.0, "share": 0.4}],
        "familyInfo": {"groups": True, "messageAim": [0.05, 0.06], "mode": "proxy", "park": 0.0, "tellsDelay": True,
                       "tellsLoad": True, "tenantQuotaConnections": [168.0, 157.0]},
        "layers": ["reading-servers"], "tier": 0, "shapes": ["full-core", "slow-core"],
        "limits": {"cancelling": True, "connectTimeout": 0.2, "cpuUsPerRequest": 10.0, "cpuUsPerS": 15000,
                   "keepalive": 10.0, "maxAttempts": 5, "maxOpen": 1000000, "maxRetryAfter": 2.0, "peers": False,
                   "probes": True, "retryAfter": True, "secondCopies": False, "streamsPerConn": 1048576},
        "prices": {"connection": 0.0, "crossZone": 0.014, "discovery": 0.0, "handshake": 0.0, "lateFail": 0.028,
                   "moves": 0.022, "origin": 0.0, "peer": 0.01, "probe": 0.002, "waste": 0.034},
        "report": {"fields": [], "source": "off"},
        "rules": {"answerSlack": 0.02, "askWithin": 10.0, "coldFrom": 0.13, "fallMultiple": 2.5, "overloadFor": 2.0,
                  "stopSendingWithin": 2.0, "warmWithin": 24.0},
        "scoringMix": {"whole": 0.4, "worstClass": 0.2, "worstTenant": 0.1, "worstWindow": 0.3},
        "tick": 0.005, "valueBy": "request", "weights": "rough", "overShareWorth": 0.05,
    }
    document.update(changes)
    return document


class Discovery:
    """Discovery: the whole list, and watches with an empty line every 2 s."""

    def __init__(self, record):
        self.record = record
        self.endpoints = {}
        self.index = 40
        self.changes = []
        self.writers = set()
        self.silent = False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def add(self, name, address, zone="almaty"):
        self.endpoints[name] = {"name": name, "address": address, "zone": zone, "type": "full-core", "group": 0,
                                "status": "SERVING", "weight": 1.0, "since_ms": 0}

    def snapshot(self):
        return {"index": self.index, "snapshot": True, "endpoints": list(self.endpoints.values())}

    async def change(self, name, status):
        """Changes a server's status and writes the change to every open watch."""
        entry = dict(self.endpoints[name], status=status)
        self.endpoints[name] = entry
        self.index += 1
        self.record("discovery", f"index {self.index}: {name} is {status}")
        line = json.dumps({"index": self.index, "snapshot": False, "endpoints": [entry]}) + "\n"
        if not self.silent:
            for writer in list(self.writers):
                await self.chunk(writer, line)

    async def chunk(self, writer, text):
        data = text.encode()
        try:
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
        except OSError:
            self.writers.discard(writer)

    async def serve(self, reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            request = head.split(b"\r\n")[0].decode()
            self.record("discovery", f"asked {request}" + (" (silent)" if self.silent else ""))
            while self.silent:
                await asyncio.sleep(0.02)
                if writer.is_closing() or reader.at_eof():
                    return
            if "watch=1" not in request:
                body = json.dumps(self.snapshot()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % len(body) + body)
                await writer.drain()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
            await self.chunk(writer, json.dumps(self.snapshot()) + "\n")
            self.writers.add(writer)
            while writer in self.writers:
                await asyncio.sleep(2.0)
                if not self.silent:
                    await self.chunk(writer, "\n")
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Server:
    """A reading server: answers `OPEN` with `UP`, and each further line at once, unless it hangs."""

    def __init__(self, record, name):
        self.record, self.name = record, name
        self.hangs = asyncio.Event()
        self.silent_to_open = False
        self.quiet = set()
        self.attempts = []
        self.receipts = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        identity = "-"
        try:
            line = (await reader.readuntil(b"\r\n")).decode().strip()
            if line == "PING":
                writer.write(b"PONG\r\n")
                return
            identity = line.split(" ")[1]
            self.attempts.append((self.record.now(), identity))
            self.record(self.name, f"attempt {identity}: {line}")
            if self.hangs.is_set() or self.silent_to_open:
                self.record(self.name, f"attempt {identity}: received, not answered")
                await reader.read()
                self.record(self.name, f"attempt {identity}: closed by the gateway")
                return
            self.receipts += 1
            receipt = f"{self.name}-{self.receipts}"
            writer.write(f"UP {receipt}\r\n".encode())
            self.record(self.name, f"attempt {identity}: UP {receipt}")
            while True:
                line = await reader.readuntil(b"\r\n")
                text = line.decode().strip()
                if self.hangs.is_set() or identity in self.quiet:
                    self.record(self.name, f"{identity}: received '{text}', not answered")
                    continue
                writer.write(b"RE " + line)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            if identity != "-":
                self.record(self.name, f"{identity}: the gateway closed the connection")
        except asyncio.CancelledError:
            pass
        finally:
            writer.close()


class Gateway:
    """Processes of one gateway, started by the platform's command with one inherited listener."""

    def __init__(self, record, discovery, document, known, arguments="", listener_fd=None, operator=False):
        self.record = record
        self.discovery = discovery
        self.folder = Path(tempfile.mkdtemp(prefix="ashtide-review-", dir=short_temporary_folder()))
        self.state = self.folder / "state"
        self.state.mkdir()
        self.arguments = arguments
        self.listener_fd = listener_fd
        self.document = document
        self.known = known
        self.processes = []
        if listener_fd is None:
            self.listen = f"127.0.0.1:{free_port()}"
        else:
            self.listener = socket.socket(fileno=os.dup(listener_fd))
            self.listen = "127.0.0.1:%d" % self.listener.getsockname()[1]
        self.operator = operator

    def start(self):
        """Starts a process of the gateway, as the platform does."""
        number = len(self.processes) + 1
        config = {"name": "n0", "listen": self.listen, "discovery": self.discovery.address, "seed": str(number),
                  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": self.known,
                  "settings": self.document}
        env = dict(os.environ, TMPDIR=str(self.state), ROUTER_NAME="n0", ROUTER_LISTEN=self.listen,
                   ROUTER_DISCOVERY=self.discovery.address)
        if self.operator:
            address = f"127.0.0.1:{free_port()}"
            config["operator"] = env["ROUTER_OPERATOR"] = address
        path = self.folder / f"config-{number}.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        env["ROUTER_CONFIG"] = str(path)
        keep = ()
        if self.listener_fd is not None:
            env["ROUTER_INHERITED_FD"] = str(self.listener_fd)
            keep = (self.listener_fd,)
        log = open(self.folder / f"log-{number}.txt", "wb")
        process = subprocess.Popen(["/bin/sh", "-c", f"{command('run')} {self.arguments}".strip()], cwd=ROOT, env=env,
                                   pass_fds=keep, preexec_fn=end_with_parent, stdin=subprocess.DEVNULL, stdout=log,
                                   stderr=subprocess.STDOUT)
        log.close()
        process.operator = config.get("operator")
        process.number = number
        self.processes.append(process)
        self.record("platform", f"starts process {number} of the gateway (pid {process.pid}) at {self.listen}")
        return process

    async def ready(self, process, seconds=10.0):
        """Waits until the admin endpoint reports ready; without an admin endpoint, until `PING` is answered."""
        address, line = (process.operator, b"health\r\n") if process.operator else (self.listen, b"PING\r\n")
        expected = b"200" if process.operator else b"PONG"
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if process.poll() is not None:
                return False
            if (await ask(address, line)).startswith(expected):
                self.record("platform", f"process {process.number} is ready")
                return True
            await asyncio.sleep(0.02)
        return False

    def signal(self, process, number):
        self.record("platform", f"{signal.Signals(number).name} to process {process.number}")
        process.send_signal(number)

    def log(self, process):
        return (self.folder / f"log-{process.number}.txt").read_text(encoding="utf-8", errors="replace")

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        for process in self.processes:
            for line in self.log(process).splitlines()[-12:]:
                self.record(f"log {process.number}", line)
        shutil.rmtree(self.folder, ignore_errors=True)


def end_with_parent():
    """Makes the kernel kill a child process when the test exits."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


async def ask(address, line):
    """Sends one line and returns the first line of the answer."""
    host, port = address.rsplit(":", 1)
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1.0)
        try:
            writer.write(line)
            return await asyncio.wait_for(reader.readline(), 1.0)
        finally:
            writer.close()
    except (OSError, asyncio.TimeoutError):
        return b""


def platform_listener(number=4):
    """Returns the clients' listening socket as the descriptor that the processes inherit.

    It is called first, while the number is free.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", 0))
    listener.listen(1024)
    if listener.fileno() != number:
        try:
            os.fstat(number)
            raise NotRun(f"descriptor {number} is in use")
        except OSError:
            os.dup2(listener.fileno(), number)
            listener.close()
    else:
        listener.detach()
    return number


def interrupted(number, frame):
    raise NotRun(f"ended by {signal.Signals(number).name}")


def main(case, folder, inherit=False):
    """Runs a case, and exits with its verdict. With `inherit`, the case gets the platform's listener first."""
    try:
        inherited = [platform_listener()] if inherit else []
    except Exception as error:
        print(f"not run: {error}")
        sys.exit(NOT_RUN)
    record = Record(folder)
    try:
        if not (ROOT / "target" / "release" / "ashtide").exists():
            raise NotRun("target/release/ashtide is missing: run the command `build` of the deploy file first")
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, interrupted)
        verdict, reason = asyncio.run(asyncio.wait_for(case(record, *inherited), 110))
    except NotRun as error:
        verdict, reason = NOT_RUN, str(error)
    except Exception as error:  # A fault of the test is no verdict.
        verdict, reason = NOT_RUN, f"{type(error).__name__}: {error}"
    name = {HELD: "held", BROKEN: "BROKEN", NOT_RUN: "not run"}[verdict]
    record("verdict", f"{name}: {reason}")
    print(f"{name}: {reason}")
    sys.exit(verdict)
