"""Initial packets of QUIC version 1 (RFC 9000, RFC 9001), as far as the stand-in client and server need them."""

import hashlib
import hmac
import os
import struct

INITIAL_SALT = bytes.fromhex("38762cf7f55934b34d179ae6a4c80cadccbb7f0a")
MIN_DATAGRAM = 1200
TAG = 16
# Length of the ids that servers issue, as the settings of the front say.
ID_LENGTH = 12
RESET_KEY = bytes([0x5A]) * 32


def _sbox():
    box, p, q = [0] * 256, 1, 1
    while True:
        p = p ^ (p << 1) & 0xFF ^ (0x1B if p & 0x80 else 0)
        q ^= q << 1
        q ^= q << 2
        q ^= q << 4
        q &= 0xFF
        q ^= 0x09 if q & 0x80 else 0
        x = q ^ (q << 1 | q >> 7) & 0xFF ^ (q << 2 | q >> 6) & 0xFF ^ (q << 3 | q >> 5) & 0xFF ^ (q << 4 | q >> 4) & 0xFF
        box[p] = x ^ 0x63
        if p == 1:
            break
    box[0] = 0x63
    return box


SBOX = _sbox()


def _double(value):
    return (value << 1) ^ (0x11B if value & 0x80 else 0)


class Aes128:
    def __init__(self, key):
        words, rcon = [list(key[i:i + 4]) for i in range(0, 16, 4)], 1
        for index in range(4, 44):
            word = list(words[-1])
            if index % 4 == 0:
                word = [SBOX[byte] for byte in word[1:] + word[:1]]
                word[0] ^= rcon
                rcon = _double(rcon)
            words.append([a ^ b for a, b in zip(words[index - 4], word)])
        self.keys = [sum(words[i:i + 4], []) for i in range(0, 44, 4)]

    def encrypt(self, block):
        state = [a ^ b for a, b in zip(block, self.keys[0])]
        for number in range(1, 11):
            state = [SBOX[byte] for byte in state]
            state = [state[(i + 4 * (i % 4)) % 16] for i in range(16)]
            if number < 10:
                mixed = []
                for column in range(0, 16, 4):
                    a = state[column:column + 4]
                    total = a[0] ^ a[1] ^ a[2] ^ a[3]
                    mixed += [a[i] ^ total ^ _double(a[i] ^ a[(i + 1) % 4]) for i in range(4)]
                state = mixed
            state = [a ^ b for a, b in zip(state, self.keys[number])]
        return bytes(state)


def _multiply(x, y):
    product = 0
    for bit in range(127, -1, -1):
        if y >> bit & 1:
            product ^= x
        x = x >> 1 ^ (0xE1 << 120 if x & 1 else 0)
    return product


def _gcm(key, nonce, data, associated, encrypt):
    aes = Aes128(key)
    h = int.from_bytes(aes.encrypt(bytes(16)), "big")
    stream = b"".join(aes.encrypt(nonce + struct.pack(">I", 2 + i)) for i in range((len(data) + 15) // 16))
    output = bytes(a ^ b for a, b in zip(data, stream))
    cipher = output if encrypt else data
    pad = lambda text: text + bytes(-len(text) % 16)  # noqa: E731
    text = pad(associated) + pad(cipher) + struct.pack(">QQ", len(associated) * 8, len(cipher) * 8)
    total = 0
    for index in range(0, len(text), 16):
        total = _multiply(total ^ int.from_bytes(text[index:index + 16], "big"), h)
    mask = int.from_bytes(aes.encrypt(nonce + b"\0\0\0\1"), "big")
    return output, (total ^ mask).to_bytes(16, "big")


def _expand(secret, label, length):
    label = b"tls13 " + label
    info = struct.pack(">HB", length, len(label)) + label + b"\0"
    return hmac.new(secret, info + b"\1", hashlib.sha256).digest()[:length]


def keys(destination, side):
    secret = hmac.new(INITIAL_SALT, destination, hashlib.sha256).digest()
    secret = _expand(secret, side + b" in", 32)
    return _expand(secret, b"quic key", 16), _expand(secret, b"quic iv", 12), _expand(secret, b"quic hp", 16)


def seal(first_destination, side, destination, source, number, frames):
    """Returns a datagram with one Initial packet, padded to the least size."""
    key, iv, hp = keys(first_destination, side)
    header = bytes([0xC3]) + struct.pack(">I", 1) + bytes([len(destination)]) + destination + bytes([len(source)]) + source
    header += b"\0"
    frames += bytes(max(0, MIN_DATAGRAM - len(header) - 2 - 4 - len(frames) - TAG))
    header += struct.pack(">H", 0x4000 | (4 + len(frames) + TAG)) + struct.pack(">I", number)
    nonce = bytes(a ^ b for a, b in zip(iv, number.to_bytes(12, "big")))
    cipher, tag = _gcm(key, nonce, frames, header, True)
    packet = bytearray(header + cipher + tag)
    at = len(header) - 4
    mask = Aes128(hp).encrypt(bytes(packet[at + 4:at + 20]))
    packet[0] ^= mask[0] & 0x0F
    for index in range(4):
        packet[at + index] ^= mask[1 + index]
    return bytes(packet)


class Packet:
    """A long header of version 1."""

    def __init__(self, datagram):
        self.ok = False
        if len(datagram) < 7 or not datagram[0] & 0x80 or datagram[1:5] != b"\0\0\0\1":
            return
        at = 6 + datagram[5]
        self.destination = datagram[6:at]
        self.source = datagram[at + 1:at + 1 + datagram[at]]
        self.rest = at + 1 + datagram[at]
        self.kind = datagram[0] >> 4 & 3
        self.datagram = datagram
        self.ok = True

    def open(self, first_destination, side):
        """Returns the frames of an Initial packet, or None if it is not authentic."""
        if not self.ok or self.kind != 0:
            return None
        at = self.rest
        if self.datagram[at] != 0:
            return None
        at += 1
        size = 1 << (self.datagram[at] >> 6)
        length = int.from_bytes(self.datagram[at:at + size], "big") & ((1 << (8 * size - 2)) - 1)
        at += size
        key, iv, hp = keys(first_destination, side)
        mask = Aes128(hp).encrypt(self.datagram[at + 4:at + 20])
        packet = bytearray(self.datagram[:at + length])
        packet[0] ^= mask[0] & 0x0F
        digits = (packet[0] & 3) + 1
        for index in range(digits):
            packet[at + index] ^= mask[1 + index]
        number = int.from_bytes(packet[at:at + digits], "big")
        nonce = bytes(a ^ b for a, b in zip(iv, number.to_bytes(12, "big")))
        start = at + digits
        frames, tag = _gcm(key, nonce, bytes(packet[start:-TAG]), bytes(packet[:start]), False)
        return frames if tag == bytes(packet[-TAG:]) else None


def crypto(data):
    """A CRYPTO frame at offset 0."""
    return b"\x06\0" + struct.pack(">H", 0x4000 | len(data)) + data


def close_reason(frames):
    """Returns the reason of a CONNECTION_CLOSE frame (0x1c), or None."""
    frames = frames.lstrip(b"\0")
    if not frames or frames[0] != 0x1C:
        return None
    values, at = [], 1
    for _ in range(3):
        size = 1 << (frames[at] >> 6)
        values.append(int.from_bytes(frames[at:at + size], "big") & ((1 << (8 * size - 2)) - 1))
        at += size
    code, _, length = values
    return code, frames[at:at + length].decode(errors="replace")


def short(destination, content):
    """A datagram with one packet of an established connection."""
    return bytes([0x40 | os.urandom(1)[0] & 0x3F]) + destination + content + os.urandom(24)


def routable_id(name):
    """A connection id of a server, as the README describes it: QUIC-LB, unencrypted, configuration 0."""
    return bytes([ID_LENGTH - 1]) + hashlib.sha256(name.encode()).digest()[:4] + os.urandom(ID_LENGTH - 5)


def is_reset(datagram, server_id):
    """Checks whether a datagram is a stateless reset for this connection id, which is the front end's `MOVE`."""
    return len(datagram) >= 21 and datagram.endswith(hmac.new(RESET_KEY, server_id, hashlib.sha256).digest()[:16])


def fronts(port, class_name, deadline_ms):
    """Returns the deploy file of the QUIC front end."""
    return (f'[quic]\nlisten = "127.0.0.1:{port}"\nclass = "{class_name}"\ndeadline_ms = {deadline_ms}\n'
            f'id_length = {ID_LENGTH}\nrotation = 0\nreset_key = "{RESET_KEY.hex()}"\npaths = 256\nidle_ms = 30000\n')
