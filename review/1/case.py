"""A few bad clients send hundreds of set-ups at once; the gatekeeper goes over its memory limit."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
STANDINS = os.path.join(os.path.dirname(FOLDER), "standins")
sys.path.insert(0, STANDINS)
from peers import *

MEMORY_MB = 48        # the pages: 32 to 192 MB; the bench gives 48 MB on its days with bad clients
SOCKETS = 384         # the pages: 256 to 1,024; the bench gives 384 on those days
BAD_CLIENTS = 6
AT_ONCE = 100         # set-ups that each bad client has open; the pages: hundreds at once
FLOOD_S = 20


async def case(record, started):
    switches = [Switch(record, f"s-{n}", delay=0.15, hold=3) for n in (1, 2)]
    for switch in switches:
        await switch.start()
    feed = Feed(record, [host("s-0", "127.0.0.1:1", 0)]
                + [host(s.name, s.address, n) for n, s in enumerate(switches, 1)])
    await feed.start()
    platform = Platform(record, feed, memory_mb=MEMORY_MB, sockets=SOCKETS)
    started.append(platform)
    await platform.start()
    await platform.wait_ready()
    guard = background(platform.hold_to_memory_limit())

    caller = await Caller(record, "usual caller").open(platform.address)
    calls = {}
    bad = []
    flood_from, end = record.now() + 3, record.now() + 3 + FLOOD_S
    while record.now() < end and caller.closed_at is None:
        if TROUBLE and not bad and record.now() >= flood_from:
            record("bad clients", f"{BAD_CLIENTS} send {AT_ONCE} set-ups at once, and again when turned away")
            for number in range(1, BAD_CLIENTS + 1):
                client = await Helper.start(
                    sys.executable, "-B", os.path.join(STANDINS, "bad_client.py"), platform.address,
                    str(number), str(FLOOD_S - 1), str(AT_ONCE))
                bad.append(client)
                started.append(client)
        call = 0x1000 + len(calls)
        calls[call] = record.now()
        caller.send(set_up(call, left_ms=3600, dest=1 + call % 2), f"set-up {call:016x}")
        await asyncio.sleep(0.1)
    ended = caller.closed_at
    if ended is None:
        await asyncio.sleep(4)
    for client in bad:
        record("bad client", await client.output())
    record("platform", f"the most that the gatekeeper held: {platform.highest_mb:.1f} MB")
    guard.cancel()

    answered = {call for _, kind, call, _ in caller.got if kind in (ANSWER, RELEASE)}
    unanswered = [call for call, sent in calls.items() if call not in answered and sent < (ended or 1e9)]
    broken = []
    if platform.killed_at_mb:
        broken.append(f"the gatekeeper held {platform.killed_at_mb:.1f} MB of {MEMORY_MB} MB and was killed")
    elif platform.process.returncode is not None:
        broken.append(f"the gatekeeper has ended with {platform.process.returncode}")
    if unanswered:
        broken.append(f"{len(unanswered)} set-up(s) of the usual caller were taken and never answered: "
                      + ", ".join(f"{call:016x}" for call in unanswered[:5]))
    return broken


play(FOLDER, case)
