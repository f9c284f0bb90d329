"""Stand-ins for the cases 6 to 10: reading servers, discovery, clients and the platform, in one asyncio process.

They behave as the protocol pages describe sound ones, except where a case changes them.
"""

import asyncio
import contextlib
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The status with which a case says that the rule was broken. `run.sh` makes it 1, and any other but 0 a 2, so that a fault
# of the script is not taken for a broken rule.
BROKEN = 10


class CannotRun(Exception):
    """The case could not be carried out as planned."""


class Record:
    """Writes record.txt: one line an event, with the seconds since the start."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def deploy_command(key):
    text = (ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8")
    return re.search(rf'^{key}\s*=\s*"([^"]*)"', text, re.M).group(1)


class Server:
    """A reading server: answers OPEN with UP, and each further line with a line."""

    def __init__(self, name, record):
        self.name, self.record = name, record
        self.status, self.since_ms, self.zone = "SERVING", 0, "z1"
        self.up = True              # False: takes OPEN and answers nothing
        self.first_bytes = []       # when the first byte of each OPEN came, with its id
        self.connections = {}       # id of the request: writer
        self.silent = set()         # ids on whose connections nothing is returned any more
        self.listener = None

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.listener.sockets[0].getsockname()[1]
        return self

    def entry(self):
        return {"name": self.name, "address": f"127.0.0.1:{self.port}", "zone": self.zone, "type": "k1", "group": 0,
                "status": self.status, "weight": 1.0, "since_ms": self.since_ms}

    async def serve(self, reader, writer):
        request = None
        try:
            while True:
                line = await reader.readline()
                if not line.endswith(b"\r\n"):
                    break
                text = line.decode("latin-1").rstrip("\r\n")
                if request is None and text in ("PING", "STATS"):
                    writer.write(b"PONG\r\n")
                elif request is None and text.startswith("OPEN "):
                    request = text.split(" ")[1]
                    self.first_bytes.append((self.record.now(), request))
                    self.record(f"server {self.name}: {text}")
                    if not self.up:
                        continue
                    self.connections[request] = writer
                    writer.write(f"UP {self.name}.{request}\r\n".encode())
                elif request is None:
                    writer.write(b"SYNTAX\r\n")
                    break
                elif request not in self.silent:
                    writer.write(b"RE " + line)
                else:
                    self.record(f"server {self.name}: took '{text}' of {request}, returns nothing")
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            if request is not None:
                self.connections.pop(request, None)
                self.record(f"server {self.name}: connection of {request} has ended")
            with contextlib.suppress(Exception):
                writer.close()


class Discovery:
    """Discovery, or the agent on the balancer's machine where lists are pushed."""

    def __init__(self, record, servers):
        self.record, self.servers = record, servers
        self.index = 10
        self.changes = []           # (index, entry)
        self.silent = False         # takes calls and writes nothing, also on open watches
        self.watchers = set()
        self.calls = 0

    async def start(self, port=0):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.listener.sockets[0].getsockname()[1]
        return self

    def snapshot(self):
        return {"index": self.index, "snapshot": True, "endpoints": [server.entry() for server in self.servers]}

    def change(self, *servers):
        """Has a change of these servers, and writes it to the open watches."""
        self.index += 1
        entries = [server.entry() for server in servers]
        self.changes += [(self.index, entry) for entry in entries]
        update = {"index": self.index, "snapshot": False, "endpoints": entries}
        self.record(f"discovery: has {json.dumps(update)}")
        for queue in self.watchers:
            queue.put_nowait(update)

    async def serve(self, reader, writer):
        queue = asyncio.Queue()
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            self.calls += 1
            self.record(f"discovery: call '{head.splitlines()[0]}'" + (", silent" if self.silent else ""))
            while self.silent:
                await asyncio.sleep(0.02)
            after = re.search(r"after=(\d+)", head)
            if "watch=1" not in head:
                body = json.dumps(self.snapshot()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
            after = int(after.group(1)) if after else 0
            first = self.snapshot()
            if after >= 10:
                missed = [entry for index, entry in self.changes if index > after]
                first = {"index": self.index, "snapshot": False, "endpoints": missed}
            self.watchers.add(queue)
            queue.put_nowait(first)
            while True:
                try:
                    update = await asyncio.wait_for(queue.get(), 2.0)
                    line = json.dumps(update).encode() + b"\n"
                except asyncio.TimeoutError:
                    line = b"\n"
                while self.silent:
                    await asyncio.sleep(0.02)
                writer.write(b"%x\r\n" % len(line) + line + b"\r\n")
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.watchers.discard(queue)
            with contextlib.suppress(Exception):
                writer.close()


class Client:
    """A client: one OPEN, then a line every 2 s until the connection ends."""

    def __init__(self, record, address, class_name="c1", wait_ms=2000, send_lines=True):
        self.record, self.address, self.class_name, self.wait_ms = record, address, class_name, wait_ms
        self.send_lines = send_lines
        self.id = f"{random.getrandbits(64):016x}"
        self.answer = None          # the first line, or why none came
        self.answered_at = None
        self.sent_at = None
        self.last_returned_at = None
        self.ended_at = self.end = None
        self.unanswered = 0
        self.first_unanswered_at = None

    async def run(self):
        record = self.record
        try:
            reader, writer = await asyncio.open_connection(*self.address)
        except OSError as error:
            self.answer = f"no connection: {error.__class__.__name__}"
            record(f"client {self.id}: {self.answer}")
            return
        try:
            line = f"OPEN {self.id} {random.getrandbits(64):016x} c={self.class_name},t=t1,d={self.wait_ms}"
            writer.write(line.encode() + b"\r\n")
            self.sent_at = record.now()
            record(f"client {self.id}: sent '{line}'")
            answer = await reader.readline()
            self.answered_at = record.now()
            self.answer = answer.decode("latin-1").strip() or "closed without an answer"
            record(f"client {self.id}: answered '{self.answer}'")
            if not self.answer.startswith("UP "):
                return
            self.last_returned_at = record.now()
            sender = asyncio.create_task(self.send(writer)) if self.send_lines else None
            while True:
                line = await reader.readline()
                if not line:
                    self.end = self.end or "closed"
                    break
                text = line.decode("latin-1").strip()
                if text in ("MOVE", "BYE"):
                    self.end = text
                    break
                self.last_returned_at = record.now()
                self.unanswered, self.first_unanswered_at = 0, None
            if sender:
                sender.cancel()
        except ConnectionError as error:
            if self.answer is None:
                self.answer = f"no answer: {error.__class__.__name__}"
            self.end = error.__class__.__name__
        finally:
            self.ended_at = record.now()
            record(f"client {self.id}: connection has ended: {self.end or self.answer}")
            with contextlib.suppress(Exception):
                writer.close()

    async def send(self, writer):
        number = 0
        with contextlib.suppress(ConnectionError):
            while True:
                await asyncio.sleep(2.0)
                number += 1
                writer.write(f"LINE {number}\r\n".encode())
                self.unanswered += 1
                self.first_unanswered_at = self.first_unanswered_at or self.record.now()
                await writer.drain()


class Gateway:
    """The platform's side of one balancer: its configuration, its folder and its processes."""

    def __init__(self, record, name, settings, discovery_port, known, folder, extra=None, inherit=False):
        self.record, self.name = record, name
        self.folder = Path(folder)
        self.tmp = self.folder / f"tmp-{name}"
        self.config_path = self.folder / f"{name}.json"
        self.port = free_port()
        self.processes = []
        self.listener = None
        if inherit:
            self.listener = socket.socket()
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.listener.bind(("127.0.0.1", self.port))
            self.listener.listen(1024)
        self.config = {"name": name, "listen": f"127.0.0.1:{self.port}", "discovery": f"127.0.0.1:{discovery_port}",
                       "seed": f"{random.getrandbits(64):016x}", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                       "known": known, "settings": settings, **(extra or {})}

    def write_config(self):
        temporary = self.config_path.with_suffix(".new")
        temporary.write_text(json.dumps(self.config), encoding="utf-8")
        temporary.replace(self.config_path)

    def start(self, keep_tmp=False, operator=None, arguments=""):
        """Starts `run` of the deploy file; with `keep_tmp`, beside or after another process of this balancer."""
        if not keep_tmp:
            shutil.rmtree(self.tmp, ignore_errors=True)
            self.tmp.mkdir(parents=True)
        self.config["seed"] = f"{random.getrandbits(64):016x}"
        self.write_config()
        environment = {**os.environ, "ROUTER_NAME": self.name, "ROUTER_LISTEN": self.config["listen"],
                       "ROUTER_DISCOVERY": self.config["discovery"], "ROUTER_CONFIG": str(self.config_path),
                       "TMPDIR": str(self.tmp)}
        if operator:
            environment["ROUTER_OPERATOR"] = f"127.0.0.1:{operator}"
        log = open(self.folder / f"{self.name}-{len(self.processes)}.log", "w")
        before_exec = None
        options = {}
        if self.listener:
            environment["ROUTER_INHERITED_FD"] = "4"
            number = self.listener.fileno()

            def before_exec():
                os.dup2(number, 4, inheritable=True)
            options = {"preexec_fn": before_exec, "close_fds": False}
        process = subprocess.Popen(["/bin/sh", "-c", deploy_command("run") + arguments], cwd=ROOT, env=environment,
                                   stdout=log, stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL, **options)
        self.processes.append(process)
        self.record(f"platform: started process {len(self.processes) - 1} of {self.name}")
        return process

    def signal(self, process, number):
        self.record(f"platform: {signal.Signals(number).name} to process {self.processes.index(process)} of {self.name}")
        process.send_signal(number)

    async def ready(self, limit=10.0):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"PING\r\n")
                line = await asyncio.wait_for(reader.readline(), 1.0)
                writer.close()
                if line == b"PONG\r\n":
                    self.record(f"platform: {self.name} answers PONG")
                    return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready")

    @property
    def address(self):
        return ("127.0.0.1", self.port)

    def stop_all(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
                process.wait()
        if self.listener:
            self.listener.close()


async def operator_call(port, line, limit=1.0):
    """One call at the operators' door; returns the reply's first line, or None."""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), limit)
        writer.write(line.encode() + b"\r\n")
        reply = await asyncio.wait_for(reader.readline(), limit)
        writer.close()
        return reply.decode("latin-1").strip()
    except (OSError, asyncio.TimeoutError):
        return None


def settings(discovery, balancers=1, index=0, **changes):
    """Settings in the form of the adapter page; the figures are those of the second deployment's page."""
    value = {
        "azs": ["z1"], "zone": "z1", "balancers": balancers, "index": index, "tier": 0, "tick": 0.005,
        "classes": [{"name": "c1", "aim": 0.5, "deadline": 2.0, "effect": "pure", "group": "all", "keyTtl": 5.0,
                     "lateWorth": 0.0, "stream": True, "worth": 2.0}],
        "clients": {"marksRetry": False}, "customers": [{"name": "t1", "quotaPerS": 0.0, "share": 1.0}],
        "discovery": discovery, "family": "conn",
        "familyInfo": {"groups": False, "messageAim": [0.15], "mode": "proxy", "park": 0.0, "tellsDelay": False,
                       "tellsLoad": True, "tenantQuotaConnections": [0.0]},
        "layers": ["t"],
        "limits": {"cancelling": True, "connectTimeout": 0.2, "cpuUsPerRequest": 0.0, "cpuUsPerS": 400000,
                   "keepalive": 10.0, "maxAttempts": 4, "maxOpen": 1000000, "maxRetryAfter": 2.0, "peers": False,
                   "probes": False, "retryAfter": True, "secondCopies": False, "streamsPerConn": 1048576},
        "overShareWorth": 0.05,
        "prices": {"connection": 0.0, "crossZone": 0.0, "discovery": 0.0, "handshake": 0.035, "lateFail": 0.03,
                   "moves": 0.031, "origin": 0.0, "peer": 0.0, "probe": 0.002, "waste": 0.05},
        "report": {"fields": [], "source": "off"},
        "rules": {"answerSlack": 0.02, "askWithin": 10.0, "coldFrom": 0.33, "fallMultiple": 2.5, "overloadFor": 1.5,
                  "stopSendingWithin": 2.0, "warmWithin": 8.9},
        "scoringMix": {"whole": 0.7, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.1},
        "shapes": ["k1"], "valueBy": "request", "weights": "off",
    }
    value.update(changes)
    return value


def run_case(folder, case):
    """Runs `case(record, folder)`, which returns what broke the rule; ends all processes, and exits."""
    record = Record(folder)
    temporary = tempfile.mkdtemp(prefix="case-")
    gateways = []

    async def limited():
        return await asyncio.wait_for(case(record, temporary, gateways), 110)

    code = 2
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        if not (ROOT / "target/release/ashtide").exists():
            raise CannotRun("the daemon is not built")
        broken = asyncio.run(limited())
        for line in broken:
            record(f"BROKEN: {line}")
        code = BROKEN if broken else 0
        record("result: " + ("the rule was broken" if broken else "the rule held"))
    except BaseException as error:  # also a fault of the script itself: only a broken rule may end with 1
        record(f"result: could not run: {error!r}")
        if not isinstance(error, CannotRun):
            record(traceback.format_exc())
    finally:
        for gateway in gateways:
            gateway.stop_all()
        if os.environ.get("KEEP"):
            print(temporary)
        else:
            shutil.rmtree(temporary, ignore_errors=True)
    sys.exit(code)
