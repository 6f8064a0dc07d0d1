"""Stand-ins for cases 6 to 10: carrier switches, callers, the control feed and the platform.

One asyncio process plays all of them; the gatekeeper is a separate process, started with the command `run` of
the deploy file. All addresses are on loopback, all ports are free ones. Only the standard library is used.
"""

import asyncio
import json
import os
import pathlib
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
# How many lines of the gatekeeper's log go into the record.
LOG_LINES = 2000
# The seed of the configuration.
SEED = "5a17c0de5a17c0de"
CLASSES = ["licence-check", "permit-issue", "season-lookup"]


class CannotRun(Exception):
    """The case could not be played; nothing is said about the rule."""


class Record:
    """Writes `record.txt` in the folder of the case."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.start = time.time()

    def now(self):
        return time.time() - self.start

    def __call__(self, who, what):
        self.file.write(f"{self.now():9.4f} {who:<12} {what}\n")
        self.file.flush()


def settings(here=0):
    """The settings of a small deployment like licence-calls."""
    figures = [("licence-check", 2.0, 1.0, 0.1), ("permit-issue", 1.5, 2.0, 0.25), ("season-lookup", 2.5, 1.0, 0.25)]
    services = [
        {"name": name, "aimS": aim, "deadlineS": 9.0, "worth": worth, "lateWorth": late, "repeat": "pure",
         "group": "all", "repeatWindowS": 5.0, "stream": True}
        for name, aim, worth, late in figures
    ]
    return {
        "failureDomains": ["dublin", "galway"], "groupSize": 3, "kindOfService": "trunks",
        "membershipMode": "automatic", "zone": "dublin", "worthBy": "request", "weights": "none",
        "clients": {"marksRetry": True},
        "familyInfo": {"here": here, "topology": "mesh", "circuitsByClass": [1, 1, 1],
                       "classHoldS": [11.0, 9.0, 8.0], "releaseS": 0.5, "resendS": 0.0, "retryHint": True,
                       "centreAdvises": False, "farReports": "answers", "skilledPools": []},
        "limits": {"cancel": True, "connectTimeoutS": 0.5, "keepaliveS": 600.0, "maxRetryAfterS": 2.0,
                   "mostTries": 5, "openCap": 20000, "peerMessages": False, "probes": True, "retryAfter": True,
                   "secondCopies": False, "streamsPerConn": 1048576, "cpuUsPerS": 300000},
        "overShareWorth": 0.1, "prices": {"probe": 0.004, "lateFail": 0.08, "waste": 0.02},
        "reporting": {"via": "answers", "fields": ["x0", "x1", "latency_ms", "qps"]},
        "rules": {"askWithinS": 10.0, "coldFrom": 0.3, "drainGraceS": 2.0, "fallS": 1.5, "tipMultiple": 2.5,
                  "warmWithinS": 15.0, "graceToAnswerS": 0.02},
        "services": services, "stepS": 0.005, "tenants": [],
    }


def settings_of_wien(here=0):
    """The settings of a small deployment like wien-adress-netz."""
    given = settings(here)
    services = [
        {"name": name, "aimS": 2.0, "deadlineS": 9.0, "worth": worth, "lateWorth": 0.1, "repeat": "pure",
         "group": "all", "repeatWindowS": 5.0, "stream": True}
        for name, worth in [("address-check", 1.0), ("batch-clean", 2.0)]
    ]
    given.update({
        "failureDomains": ["wien"], "zone": "wien", "services": services, "overShareWorth": 0.05,
        "prices": {"probe": 0.0, "lateFail": 0.05, "waste": 0.02, "peer": 0.01}, "clients": {"marksRetry": False},
        "reporting": {"via": "none", "fields": ["x0", "x1"]},
        "tenants": [{"name": name, "share": share, "quotaPerS": 70 * share}
                    for name, share in [("alpenpaket", 0.54), ("donaukurier", 0.25), ("tirol-zustell", 0.21)]]})
    given["familyInfo"].update({"circuitsByClass": [1, 1], "classHoldS": [10.0, 15.0], "releaseS": 0.3,
                                "retryHint": False, "farReports": "none"})
    given["limits"].update({"mostTries": 4, "probes": False, "peerMessages": True})
    given["rules"].update({"drainGraceS": 0.25, "tipMultiple": 3.0, "fallS": 1.0, "coldFrom": 0.29,
                           "warmWithinS": 14.0})
    return given


def host(name, address, block, health="SERVING", born_ms=0):
    """An entry of the switch list."""
    return {"host": name, "dial": address, "site": "dublin", "class": "single-core", "block": block,
            "health": health, "share": 1, "born_ms": born_ms}


def whole_list(hosts):
    return {"n": 1, "events": [{"n": 1, "members": {"seq": 1, "whole": True, "hosts": hosts}}]}


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


async def until(condition, timeout, step=0.005):
    """Waits until the condition holds; False after `timeout` seconds."""
    end = time.time() + timeout
    while not condition():
        if time.time() >= end:
            return False
        await asyncio.sleep(step)
    return True


def reset(writer):
    """Ends a connection with a reset."""
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Feed:
    """The control feed. It has no events beyond those of the configuration, unless some are added."""

    def __init__(self, record):
        self.record, self.events, self.server, self.writers = record, [], None, set()
        self.answer_after, self.asked = 0.0, 0

    async def start(self, last=1):
        self.last = last
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def add(self, event):
        self.events.append(event)
        self.last = event["n"]
        self.record("feed", f"event {json.dumps(event)}")
        for writer in self.writers:
            writer.write((json.dumps(event) + "\n").encode())

    async def serve(self, reader, writer):
        try:
            line = await reader.readline()
            self.record("feed", f"received {line!r}")
            number = int(line.split()[1])
            self.asked += 1
            await asyncio.sleep(self.answer_after)
            for event in self.events:
                if event["n"] > number:
                    writer.write((json.dumps(event) + "\n").encode())
            self.writers.add(writer)
            while True:
                writer.write(f"{self.last}\n".encode())
                await writer.drain()
                await asyncio.sleep(1)
        except (ConnectionError, OSError, IndexError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class SwitchConnection:
    """A connection as its switch sees it.

    `quiet`: no byte passes in either direction any more, as on a path that has failed. The end of the
    connection is still seen by the other side.
    """

    def __init__(self, switch, number, reader, writer):
        self.switch, self.number, self.reader, self.writer = switch, number, reader, writer
        self.open, self.quiet = True, False
        self.name = f"{switch.name}/{number}"

    def send(self, message):
        text = json.dumps(message, separators=(",", ":"))
        lost = "  (on a quiet connection)" if self.quiet else ""
        self.switch.record(self.name, f"sends {text}{lost}")
        if not self.quiet:
            try:
                self.writer.write(text.encode() + b"\n")
            except (ConnectionError, OSError):
                pass

    async def run(self):
        try:
            while True:
                line = await self.reader.readline()
                if not line.endswith(b"\n"):
                    break
                if self.quiet:
                    self.switch.record(self.name, f"(lost on the quiet connection: {line.decode().strip()})")
                    continue
                self.switch.record(self.name, f"received {line.decode().strip()}")
                self.switch.received(self, json.loads(line))
        except (ConnectionError, OSError):
            pass
        self.switch.ended(self)
        self.writer.close()


class Switch:
    """A sound carrier switch. Set-ups are answered after `answer_after` seconds.

    As the protocol page says: the state of the group comes first on each new connection, and unasked on the
    open ones whenever it changes; what concerns a standing call goes on the connection of its set-up, failing
    that on any open one; its release goes on the next one opened as well; set-ups open on a connection are
    given up when it ends.
    """

    def __init__(self, name, block, record, circuits=120):
        self.name, self.block, self.record, self.circuits = name, block, record, circuits
        self.connections, self.accepted = [], 0
        self.calls = {}          # tag -> connection of the set-up, state "out" or "stands"
        self.for_next = []       # releases that go on the next connection opened
        self.answer_after = 0.02
        self.starts, self.ends, self.given_up = [], {}, []
        self.on_start = None     # replaces the usual answer where a case needs another
        self.reading = True

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", port, limit=1 << 20)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def die(self):
        """The process dies: its connections are reset and its calls cut; new connections are refused."""
        self.record(self.name, f"dies, with {len(self.calls)} calls")
        self.server.close()
        now = time.time()
        self.ends.update({tag: now for tag in self.calls})
        self.calls, self.for_next = {}, []
        for connection in self.open_connections():
            connection.open = False
            reset(connection.writer)

    async def restart(self):
        """It listens again at its address, and knows nothing of what was before."""
        await self.start(int(self.address.rsplit(":", 1)[1]))
        self.record(self.name, "is back")

    def report(self):
        free = self.circuits - len(self.calls)
        return {"verb": "LOAD", "tag": "", "opts": {"load": f"x0:{free};x1:{self.circuits}"}}

    async def accept(self, reader, writer):
        self.accepted += 1
        connection = SwitchConnection(self, self.accepted, reader, writer)
        self.record(connection.name, "accepted")
        self.connections.append(connection)
        connection.send(self.report())
        for message in self.for_next:
            connection.send(message)
        self.for_next = []
        await connection.run()

    def open_connections(self):
        return [connection for connection in self.connections if connection.open]

    def changed(self):
        for connection in self.open_connections()[:4]:
            connection.send(self.report())

    def ended(self, connection):
        self.record(connection.name, "has ended")
        connection.open = False
        lost = [tag for tag, call in self.calls.items() if call["connection"] is connection and call["state"] == "out"]
        for tag in lost:
            self.record(self.name, f"gives up {tag}, whose connection has ended")
            self.given_up.append(tag)
            del self.calls[tag]

    def received(self, connection, message):
        tag, verb = message["tag"], message["verb"]
        if verb == "START":
            self.starts.append((time.time(), tag))
            self.calls[tag] = {"connection": connection, "state": "out", "attempt": len(self.starts)}
            self.changed()
            if self.on_start:
                self.on_start(connection, message)
            else:
                asyncio.get_running_loop().call_later(self.answer_after, self.answer, tag, len(self.starts))
        elif verb == "FINISH":
            if tag in self.calls:
                self.record(self.name, f"{self.calls[tag]['state']} call {tag} is ended by the gatekeeper")
                del self.calls[tag]
                self.changed()
            connection.send({"verb": "FINISHED", "tag": tag, "opts": {}})
        elif verb == "ECHO":
            connection.send({"verb": "ECHOED", "tag": tag, "opts": {}, "rc": 1})

    def answer(self, tag, attempt):
        call = self.calls.get(tag)
        if call and call["state"] == "out" and call["attempt"] == attempt:
            call["state"] = "stands"
            description = f"{self.name}-{tag}\r\nc=IN IP4 127.0.0.1\r\n"
            call["connection"].send({"verb": "STARTED", "tag": tag, "opts": {}, "blob": description})

    def end_call(self, tag, cause=16):
        """A standing call comes to its end by itself."""
        call = self.calls.pop(tag, None)
        if call is None or call["state"] != "stands":
            raise CannotRun(f"call {tag} does not stand at {self.name}")
        self.ends[tag] = time.time()
        message = {"verb": "FINISH", "tag": tag, "opts": {}, "rc": cause}
        own = call["connection"]
        any_open = own if own.open else next(iter(self.open_connections()), None)
        if any_open:
            any_open.send(message)
        self.for_next.append(message)
        self.changed()


SET_UP, PROGRESS, ANSWER, RELEASE, RELEASED, TEST, TEST_RESULT = 1, 6, 9, 12, 16, 52, 53


def parameter(code, value):
    value = value if isinstance(value, bytes) else value.encode()
    return struct.pack(">BH", code, len(value)) + value


def message(kind, tag, *parameters):
    body = struct.pack(">BQ", kind, int(tag, 16)) + b"".join(parameters)
    return struct.pack(">H", len(body)) + body


def set_up(tag, service, timeout_ms, dest, transit=None, tenant=None):
    figures = f"dest:{dest};width:1;via:-1" if transit is None else f"dest:{dest};width:1;via:{transit};transit:1"
    tenants = [parameter(184, tenant)] if tenant else []
    return message(SET_UP, tag, parameter(180, service), parameter(182, str(timeout_ms)), *tenants,
                   parameter(188, f"n{tag}"), parameter(190, figures),
                   parameter(210, f"{tag}\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"))


class Callers:
    """What all callers have received, by call: a list of (time, connection, type, cause)."""

    def __init__(self, record, address):
        self.record, self.address, self.got, self.last_tag = record, address, {}, 0
        self.connections = []

    def new_tag(self):
        self.last_tag += 1
        return f"{0x5a00000000000000 + self.last_tag:016x}"

    async def connect(self, name):
        address, port = self.address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(address, int(port))
        connection = CallerConnection(self, name, reader, writer)
        self.connections.append(connection)
        self.record(name, "connected")
        return connection

    def answered_at(self, tag):
        return next((got[0] for got in self.got.get(tag, []) if got[2] == ANSWER), None)

    def released_at(self, tag):
        """When a call was released after its answer, or refused."""
        return next((got[0] for got in self.got.get(tag, []) if got[2] == RELEASE), None)


class CallerConnection:
    """A connection of a caller. `quiet`: no byte passes in either direction any more."""

    def __init__(self, callers, name, reader, writer):
        self.callers, self.name, self.reader, self.writer = callers, name, reader, writer
        self.quiet, self.ended_at = False, None
        self.test_results = []
        self.task = asyncio.ensure_future(self.run())

    def send(self, data, what):
        self.callers.record(self.name, f"sends {what}" + ("  (on a quiet connection)" if self.quiet else ""))
        if not self.quiet:
            self.writer.write(data)

    def set_up(self, tag, service="licence-check", timeout_ms=3000, dest=1, transit=None,
               tenant=None):
        self.send(set_up(tag, service, timeout_ms, dest, transit, tenant),
                  f"set-up {tag} {service} dest:{dest} {timeout_ms} ms")

    def test(self, tag="00000000000000aa"):
        self.send(message(TEST, tag, parameter(208, b"\0")), "test")

    def close(self):
        self.callers.record(self.name, "closes its connection")
        self.writer.close()

    async def run(self):
        try:
            while True:
                body = await self.reader.readexactly(struct.unpack(">H", await self.reader.readexactly(2))[0])
                kind, tag = body[0], f"{struct.unpack('>Q', body[1:9])[0]:016x}"
                cause, rest = None, body[9:]
                while rest:
                    code, length = struct.unpack(">BH", rest[:3])
                    if code == 208:
                        cause = rest[3]
                    rest = rest[3 + length:]
                if self.quiet:
                    self.callers.record(self.name, f"(lost on the quiet connection: type {kind} {tag} cause {cause})")
                    continue
                self.callers.record(self.name, f"received type {kind} {tag} cause {cause}")
                if kind == TEST_RESULT:
                    self.test_results.append(cause)
                self.received(kind, tag, cause)
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        self.ended_at = time.time()
        self.callers.record(self.name, "its connection has ended")
        self.writer.close()

    def received(self, kind, tag, cause):
        self.callers.got.setdefault(tag, []).append((time.time(), self.name, kind, cause))
        # A caller hears a release; that is free.
        if kind == RELEASE:
            self.send(message(RELEASED, tag), f"release heard {tag}")


class Gatekeeper:
    """The project's program, started with the command `run` of the deploy file."""

    def __init__(self, folder, record, known, feed_address, here=0, given=settings,
                 limits=None):
        self.folder, self.record = pathlib.Path(folder), record
        self.address = f"127.0.0.1:{free_port()}"
        self.temporary = tempfile.TemporaryDirectory()
        self.config = pathlib.Path(self.temporary.name) / "config.json"
        self.limits = limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        self.write_config(known, feed_address, given(here))
        self.process = None

    def write_config(self, known, feed_address, given):
        self.config.write_text(json.dumps({
            "name": "n0", "listen": self.address, "seed": SEED,
            "limits": self.limits,
            "feed": feed_address, "known": known, "settings": given}))

    def start(self, prepare=None):
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
        if not (ROOT / "target/release/wheatpier").exists():
            raise CannotRun("the program is not built")
        folder = pathlib.Path(self.temporary.name) / "tmp"
        folder.mkdir(exist_ok=True)
        environment = dict(os.environ, BALANCER_NAME="n0", BALANCER_LISTEN=self.address,
                           BALANCER_CONFIG=str(self.config), TMPDIR=str(folder))
        self.log = open(pathlib.Path(self.temporary.name) / "log", "ab")
        self.process = subprocess.Popen(["/bin/sh", "-c", deploy["run"]], cwd=ROOT, env=environment,
                                        stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log,
                                        preexec_fn=prepare)
        self.record("platform", f"started the gatekeeper: {deploy['run']}")

    async def ready(self, callers, timeout=30):
        """The front: asks with tests until one is passed, then closes its connection."""
        end = time.time() + timeout
        while time.time() < end:
            self.check()
            try:
                front = await callers.connect("front")
            except OSError:
                await asyncio.sleep(0.05)
                continue
            front.test()
            await until(lambda: front.test_results or front.ended_at, 5)
            front.close()
            if 1 in front.test_results:
                return
            await asyncio.sleep(0.05)
        raise CannotRun("the gatekeeper did not pass a test")

    def check(self):
        if self.process.poll() is not None:
            raise CannotRun(f"the gatekeeper ended with {self.process.returncode}")

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
        if self.process:
            self.log.close()
            with open(self.log.name, errors="replace") as log:
                lines = [line.rstrip() for _, line in zip(range(LOG_LINES), log)]
            for line in lines:
                self.record("log", line)
        self.temporary.cleanup()


def main(folder, play):
    """Plays a case: `await play(record)` returns (exit code, what was seen)."""
    record = Record(folder)
    record("case", f"TROUBLE={int(TROUBLE)}")

    async def run():
        return await asyncio.wait_for(play(record), 110)

    try:
        code, text = asyncio.run(run())
    except CannotRun as error:
        code, text = NOT_RUN, f"could not run: {error}"
    except Exception as error:  # A fault of the case itself says nothing about the rule.
        code, text = NOT_RUN, f"could not run: {error!r}"
    verdict = {HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", NOT_RUN: "NOT RUN"}[code]
    record("verdict", f"{verdict}: {text}")
    print(f"{verdict}: {text}", flush=True)
    # An unexpected end of Python gives 1, so a broken rule has a code of its own; run.sh turns it into 1.
    sys.exit(10 if code == BROKEN else code)
