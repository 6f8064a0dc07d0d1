"""Case 9: after a restart, a call in transit goes to a switch of another exchange.

About 5 s. The machine of s-1 (exchange 1) has vanished, and a new switch s-9 (exchange 3) listens at its address.
Discovery has not noticed yet that s-1 is gone, so the whole list of the start names both. A call in transit for
exchange 1 arrives.
"""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "shared-2"))
from standins import (BROKEN, HELD, TROUBLE, Callers, CannotRun, Feed, Gatekeeper, Switch, host, main, until,
                      whole_list)


async def play(record):
    feed, s9, s2 = Feed(record), Switch("s-9", 3, record), Switch("s-2", 2, record)
    await feed.start()
    await s9.start()
    await s2.start()
    hosts = [host("s-0", "127.0.0.1:1", 0),
             host("s-9", s9.address, 3, born_ms=int(time.time() * 1000) - 5_000),
             host("s-2", s2.address, 2)]
    if TROUBLE:
        hosts.append(host("s-1", s9.address, 1))
    gatekeeper = Gatekeeper(pathlib.Path(__file__).parent, record, whole_list(hosts), feed.address)
    callers = Callers(record, gatekeeper.address)
    try:
        gatekeeper.start()
        await gatekeeper.ready(callers)
        k1 = await callers.connect("k1")
        tags = {}
        for name, dest in [("for exchange 1", 1), ("for exchange 3", 3)]:
            tags[name] = callers.new_tag()
            k1.set_up(tags[name], dest=dest, transit=2)
            if not await until(lambda: callers.got.get(tags[name]), 4):
                raise CannotRun("a call got no answer")
        gatekeeper.check()
        wrong = [tag for _, tag in s9.starts if tag == tags["for exchange 1"]]
        text = ("the call in transit for exchange 1 was set up at s-9, which serves exchange 3" if wrong
                else "no call in transit for exchange 1 went to s-9")
        return (BROKEN if wrong else HELD), text
    finally:
        gatekeeper.stop()


main(pathlib.Path(__file__).parent, play)
