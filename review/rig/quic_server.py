"""A QUIC server as a process: answers an Initial after a delay, and each line immediately.

Usage: quic_server.py NAME PORT DELAY_S. It prints one line for each event. Between SIGUSR1 and SIGUSR2 it hangs: it reads
datagrams and answers none. The content of short-header packets is not encrypted, as the gateway does not decrypt it.
"""

import os
import signal
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))
import quic  # noqa: E402


def main():
    name, port, delay = sys.argv[1], int(sys.argv[2]), float(sys.argv[3])
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(("127.0.0.1", port))
    print("listening", flush=True)
    taken, clients, due = {}, {}, []
    hangs = []
    signal.signal(signal.SIGUSR1, lambda number, frame: hangs.append(True))
    signal.signal(signal.SIGUSR2, lambda number, frame: hangs.clear())
    while True:
        sock.settimeout(max(0.001, due[0][0] - time.monotonic()) if due else None)
        try:
            datagram, sender = sock.recvfrom(2048)
        except TimeoutError:
            _, first, client_id, sender = due.pop(0)
            if hangs:
                continue
            answer = quic.seal(first, b"server", client_id, taken[first], 0, quic.crypto(b"UP " + name.encode()))
            sock.sendto(answer, sender)
            print(f"answered {first.hex()}", flush=True)
            continue
        own_id = datagram[1:1 + quic.ID_LENGTH]
        if datagram and not datagram[0] & 0x80:
            if own_id in clients and hangs:
                print(f"ignored {own_id.hex()}", flush=True)
            elif own_id in clients:
                sock.sendto(quic.short(clients[own_id], b"RE " + datagram[1 + quic.ID_LENGTH:]), sender)
                print(f"echoed {own_id.hex()}", flush=True)
            continue
        packet = quic.Packet(datagram)
        if not packet.ok or packet.kind != 0:
            continue
        if packet.open(packet.destination, b"client") is None:
            continue
        if packet.destination in taken:
            print(f"retransmission {packet.destination.hex()}", flush=True)
            continue
        taken[packet.destination] = quic.routable_id(name)
        clients[taken[packet.destination]] = packet.source
        print(f"received {packet.destination.hex()}", flush=True)
        due.append((time.monotonic() + delay, packet.destination, packet.source, sender))


if __name__ == "__main__":
    try:
        main()
    except KeyboardInterrupt:
        os._exit(0)
