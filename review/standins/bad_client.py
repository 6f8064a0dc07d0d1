"""A bad client: it keeps `width` set-ups open at once, sends another as soon as one is turned away, at full
speed, and reads whatever it is sent. Their destination is an exchange that does not exist. Every set-up has
a new id and a number of its own.

    bad_client.py ADDRESS NUMBER SECONDS WIDTH"""

import os
import socket
import struct
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from peers import set_up

address, client, seconds, width = sys.argv[1], int(sys.argv[2]), float(sys.argv[3]), int(sys.argv[4])
ip, port = address.rsplit(":", 1)
connection = socket.create_connection((ip, int(port)))
connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
connection.settimeout(1)
template = set_up(0, "licence-check", 9000, 99, number="0" * 16)
before_number = template.index(b"0" * 16)


def numbered(count):
    call = client << 40 | count
    number = b"%016x" % call
    return (template[:3] + struct.pack(">Q", call) + template[11:before_number] + number
            + template[before_number + 16:])


sent = answered = 0
waiting = b""
end = time.monotonic() + seconds
try:
    while time.monotonic() < end:
        more = width - (sent - answered)
        connection.sendall(b"".join(numbered(sent + index) for index in range(more)))
        sent += more
        received = connection.recv(1 << 20)
        if not received:
            break
        waiting += received
        position = 0
        while len(waiting) - position >= 2:
            (length,) = struct.unpack(">H", waiting[position:position + 2])
            if len(waiting) - position < 2 + length:
                break
            position += 2 + length
            answered += 1
        waiting = waiting[position:]
except OSError:
    pass
print(f"{sent} set-ups sent, {answered} turned away")
