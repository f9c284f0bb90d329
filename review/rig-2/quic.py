"""Stand-ins for the QUIC front: reading servers and clients.

Payloads are opaque to a gateway, so these carry plain text where real ones carry encrypted frames. Headers, connection ids
(QUIC-LB, not encrypted), a new id at a new address (RFC 9000, 9.5) and stateless resets are as a gateway sees them.
"""

import asyncio
import contextlib
import hashlib
import hmac
import os

ID_LENGTH = 12
KEY = bytes.fromhex("00112233445566778899aabbccddeeff")
HANDSHAKE, ECHO = b"HANDSHAKE", b"ECHO"


def front_file(port, paths):
    """The front's file, with the values of deploy/quic.toml but for address, class and key."""
    return (f'[quic]\nlisten = "127.0.0.1:{port}"\nclass = "c1"\ndeadline_ms = 2000\nid_length = {ID_LENGTH}\n'
            f'rotation = 0\nreset_key = "{KEY.hex()}"\npaths = {paths}\nidle_ms = 30000\n')


def reset_token(connection_id):
    return hmac.new(KEY, connection_id, hashlib.sha256).digest()[:16]


def long_packet(first_byte, destination, source, body):
    return (bytes([first_byte]) + b"\0\0\0\1" + bytes([len(destination)]) + destination + bytes([len(source)]) + source
            + body)


def parse_long(packet):
    at = 6 + packet[5]
    end = at + 1 + packet[at]
    return packet[6:at], packet[at + 1:end], packet[end:]


class QuicServer(asyncio.DatagramProtocol):
    """The QUIC side of a reading server: accepts each Initial, issues four ids, and echoes what comes under them."""

    def __init__(self, name, record):
        self.name, self.record = name, record
        self.by_initial, self.by_id = {}, {}

    def connection_made(self, transport):
        self.transport = transport

    def new_id(self):
        prefix = hashlib.sha256(self.name.encode()).digest()[:4]
        return bytes([ID_LENGTH - 1]) + prefix + os.urandom(ID_LENGTH - 5)

    def datagram_received(self, packet, address):
        if packet[0] & 0x80:
            destination, source, _ = parse_long(packet)
            if (packet[0] >> 4) & 3 != 0 or destination in self.by_id:
                return
            if destination not in self.by_initial:
                ids = [self.new_id() for _ in range(4)]
                self.by_initial[destination] = ids
                self.by_id.update({connection_id: source for connection_id in ids})
            ids = self.by_initial[destination]
            body = HANDSHAKE + self.name.encode().ljust(8) + b"".join(ids)
            self.transport.sendto(long_packet(0xe0, source, ids[0], body), address)
            return
        client = self.by_id.get(packet[1:1 + ID_LENGTH])
        if client is None:
            self.record(f"server {self.name}: got a datagram of a connection that it does not have")
            reset = bytes([0x40]) + os.urandom(20) + reset_token(packet[1:1 + ID_LENGTH])
            self.transport.sendto(reset, address)
            return
        number = packet[1 + ID_LENGTH:].split(b" ")[0]
        self.transport.sendto(bytes([0x40]) + client + ECHO + self.name.encode().ljust(8) + number + b" " * 30, address)


class QuicClient(asyncio.DatagramProtocol):
    """A client: an Initial, then a datagram every half second; `move` continues at a new address under a new id."""

    def __init__(self, record, gateway, name):
        self.record, self.gateway, self.name = record, gateway, name
        self.initial_id, self.source = os.urandom(8), os.urandom(8)
        self.server, self.ids = None, []
        self.reset_at = None
        self.unanswered_since = None
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport

    async def open(self):
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))

    def send_initial(self):
        packet = long_packet(0xc0, self.initial_id, self.source, b"CLIENT").ljust(1200, b"\0")
        self.transport.sendto(packet, self.gateway)

    def datagram_received(self, packet, _):
        if packet[0] & 0x80:
            destination, _, body = parse_long(packet)
            if destination == self.source and body.startswith(HANDSHAKE) and self.server is None:
                body = body[len(HANDSHAKE):]
                self.server = body[:8].strip().decode()
                self.ids = [body[8 + i * ID_LENGTH:8 + (i + 1) * ID_LENGTH] for i in range(4)]
        elif packet[1:9] == self.source and packet[9:13] == ECHO:
            self.unanswered_since = None
            if packet[13:21].strip().decode() != self.server:
                self.record(f"client {self.name}: got an answer of another server")
        elif packet[-16:] in [reset_token(connection_id) for connection_id in self.ids] and self.reset_at is None:
            self.reset_at = self.record.now()
            self.record(f"client {self.name}: its connection with {self.server} was reset")

    async def connect(self):
        await self.open()
        for wait in (0.25, 0.5, 1.0, 2.0):
            self.send_initial()
            for _ in range(int(wait * 50)):
                if self.server:
                    self.record(f"client {self.name}: connected with {self.server}")
                    return True
                await asyncio.sleep(0.02)
        return False

    async def talk(self, moving):
        """Sends until its connection is reset or the task is cancelled; `moving` is an event after which it moves."""
        number, current, moved = 0, 0, False
        with contextlib.suppress(asyncio.CancelledError):
            while self.reset_at is None:
                if moving.is_set() and not moved:
                    self.transport.close()
                    await self.open()
                    current, moved = 1, True
                    self.record(f"client {self.name}: continues at a new address under a new id")
                number += 1
                if self.unanswered_since is None:
                    self.unanswered_since = self.record.now()
                self.transport.sendto(bytes([0x40]) + self.ids[current] + f"{number} ".encode() + b"." * 60, self.gateway)
                await asyncio.sleep(0.5)
