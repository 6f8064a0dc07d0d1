"""Stand-ins for everything a gatekeeper talks to, for the cases in review/: callers (binary protocol),
carrier switches (JSON lines), the control feed, and the platform that starts the program by the line `run`
of deploy/balancer.toml. Python's standard library only; loopback addresses only."""

import asyncio
import json
import os
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "127.0.0.1"
SEED = "8c1f30d27a5be964"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

SET_UP, ANSWER, RELEASE, RELEASE_HEARD, TEST, TEST_RESULT = 1, 9, 12, 16, 52, 53


TASKS = []


def background(coroutine):
    """Starts a task and keeps it referenced, so that it is not collected while it runs."""
    task = asyncio.create_task(coroutine)
    TASKS.append(task)
    return task


# The exit code of a case that broke its rule. run.sh turns it into 1, and all others but 0 into 2, so that an
# error of the test itself is never taken for a broken rule.
BROKEN = 10


class CannotRun(Exception):
    """The case could not be played: exit code 2."""


class Record:
    """What was sent, answered and run, with the time since the start in seconds."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, who, text):
        self.file.write(f"{self.now():9.4f}  {who:<14} {text}\n")
        self.file.flush()


def deploy_commands():
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
        return tomllib.load(file)


def settings():
    """The settings of a small deployment: the figures that the site file and the wire page give for
    `licence-calls`, with three exchanges."""
    service = lambda name, aim, worth, late: {
        "name": name, "aimS": aim, "deadlineS": 9.0, "worth": worth, "lateWorth": late, "repeat": "pure",
        "group": "all", "repeatWindowS": 5.0, "stream": True}
    return {
        "failureDomains": ["dublin", "galway"], "groupSize": 3, "kindOfService": "trunks",
        "membershipMode": "automatic", "me": 0, "zone": "dublin",
        "familyInfo": {"here": 0, "topology": "mesh", "circuitsByClass": [1, 1, 1], "releaseS": 0.5,
                       "resendS": 0.0, "skilledPools": [], "classHoldS": [10.5, 8.4, 7.35],
                       "farReports": "answers", "retryHint": True, "centreAdvises": False},
        "limits": {"cancel": True, "connectTimeoutS": 0.5, "maxRetryAfterS": 2.0, "mostTries": 5,
                   "probes": True, "retryAfter": True, "secondCopies": False, "peerMessages": False,
                   "cpuUsPerS": 300000},
        "overShareWorth": 0.1, "prices": {"probe": 0.004},
        "reporting": {"via": "answers", "fields": ["free", "size", "avg_ms", "can_take"]},
        "rules": {"askWithinS": 10.0, "coldFrom": 0.3, "drainGraceS": 2.0, "fallS": 1.5,
                  "graceToAnswerS": 0.02, "tipMultiple": 2.5, "warmWithinS": 15.0},
        "services": [service("licence-check", 2.0, 1.0, 0.1), service("permit-issue", 1.5, 2.0, 0.25),
                     service("season-lookup", 2.5, 1.0, 0.25)],
        "stepS": 0.005, "tenants": [], "weights": "none", "worthBy": "request"}


def host(name, address, block, health="SERVING", born_ms=0):
    return {"host": name, "dial": address, "site": "dublin" if block < 2 else "galway", "class": "std",
            "block": block, "health": health, "share": 1, "born_ms": born_ms}


# ---------------------------------------------------------------- control feed

class Feed:
    """The control feed. `latency` delays all that it writes, as a slow or crowded feed does: each line
    arrives that much later, in order, on every connection."""

    def __init__(self, record, hosts):
        self.record = record
        self.events = [{"n": 1, "members": {"seq": 1, "whole": True, "hosts": hosts}}]
        self.latency = 0.0
        self.writers = {}
        self.count = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()

    def known(self):
        return {"n": len(self.events), "events": list(self.events)}

    async def serve(self, reader, writer):
        self.count += 1
        name = f"feed#{self.count}"
        self.record(name, "connection accepted")
        queue = asyncio.Queue()
        deliver = background(self.deliver(name, queue, writer))
        ticker = None
        try:
            line = (await reader.readline()).decode().strip()
            if not line.startswith("SUB "):
                return
            self.record(name, f"< {line}")
            for event in self.events[int(line.split()[1]):]:
                self.put(queue, json.dumps(event))
            self.put(queue, str(len(self.events)))
            self.writers[name] = queue
            ticker = background(self.tick(queue))
            await reader.read()
        except ConnectionError:
            pass
        finally:
            self.record(name, "connection closed by the gatekeeper")
            self.writers.pop(name, None)
            deliver.cancel()
            if ticker:
                ticker.cancel()
            writer.close()

    def put(self, queue, line):
        queue.put_nowait((time.monotonic() + self.latency, line))

    async def tick(self, queue):
        while True:
            await asyncio.sleep(1)
            self.put(queue, str(len(self.events)))

    async def deliver(self, name, queue, writer):
        last = 0.0
        while True:
            due, line = await queue.get()
            due = last = max(due, last)
            await asyncio.sleep(max(0, due - time.monotonic()))
            self.record(name, f"> {line}")
            writer.write(line.encode() + b"\n")
            await writer.drain()

    def publish(self, hosts):
        number = len(self.events) + 1
        event = {"n": number, "members": {"seq": number, "whole": False, "hosts": hosts}}
        self.events.append(event)
        self.record("feed", f"event {number} is in the control feed: {json.dumps(hosts)}")
        for queue in self.writers.values():
            self.put(queue, json.dumps(event))


# ---------------------------------------------------------------- carrier switches

class SwitchConnection:
    def __init__(self, switch, number, reader, writer):
        self.switch, self.number, self.reader, self.writer = switch, number, reader, writer
        self.name = f"{switch.name}#{number}"

    def send(self, verb, tag="", rc=None, blob=None, opts=None):
        message = {"verb": verb, "tag": tag, "opts": opts or {}}
        if rc is not None:
            message["rc"] = rc
        if blob is not None:
            message["blob"] = blob
        line = json.dumps(message)
        self.switch.record(self.name, f"> {line}")
        if not self.writer.is_closing():
            self.writer.write(line.encode() + b"\n")


class Switch:
    """A sound carrier switch. It reports its group on each new connection before anything else, answers each
    set-up after `delay` seconds, and holds what stands until `end` or a release. What concerns a call that
    stands goes on the connection of its set-up or, failing that, on any open one; its release also goes on
    the next connection opened. A set-up whose connection closes is given up.

    `out` holds the attempts that are out: those that have come whole and have neither ended nor been given up;
    a call that stands is among them until its end."""

    def __init__(self, record, name, delay=0.03, hold=None, max_connections=None):
        self.record, self.name, self.delay, self.hold = record, name, delay, hold
        self.max_connections = max_connections
        self.connections = []
        self.accepted = 0
        self.port = 0
        self.server = None
        self.out = {}            # tag -> list of attempts, each {connection, at, stands}
        self.starts = []         # (time, tag, number of the connection)
        self.released_by_gatekeeper = []   # (time, tag, whether it stood)
        self.doubles = []        # (tag, whether the first had been answered) of two attempts out at once
        self.unheard = []        # releases to send on the next connection opened as well
        self.circuits = 30

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{self.port}"

    def group(self):
        free = self.circuits - sum(len(attempts) for attempts in self.out.values())
        return f"free:{free};size:{self.circuits}"

    def tell_group(self):
        """The state of the group, unasked, on the open connections whenever it has changed."""
        for connection in self.connections:
            connection.send("LOAD", opts={"load": self.group()})

    async def limit(self):
        """Refuses further connections while it holds as many as it can."""
        if self.max_connections is None:
            return
        full = len(self.connections) >= self.max_connections
        if full and self.server:
            self.server.close()
            self.server = None
            self.record(self.name, f"holds {len(self.connections)} connection(s): refuses further ones")
        elif not full and not self.server:
            await self.start()
            self.record(self.name, "takes connections again")

    async def serve(self, reader, writer):
        self.accepted += 1
        connection = SwitchConnection(self, self.accepted, reader, writer)
        self.connections.append(connection)
        self.record(connection.name, "connection accepted")
        connection.send("LOAD", opts={"load": self.group()})
        for tag, rc in self.unheard:
            connection.send("FINISH", tag, rc)
        self.unheard = []
        await self.limit()
        try:
            while line := await reader.readline():
                if not line.endswith(b"\n"):
                    break
                self.record(connection.name, f"< {line.decode().strip()}")
                self.handle(connection, json.loads(line))
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        self.record(connection.name, "connection closed by the gatekeeper")
        self.connections.remove(connection)
        for tag, attempts in list(self.out.items()):
            for attempt in list(attempts):
                if attempt["connection"] is connection and not attempt["stands"]:
                    self.end(tag, attempt, "given up with its connection")
        writer.close()
        await self.limit()

    def end(self, tag, attempt, why):
        attempts = self.out.get(tag, [])
        if attempt in attempts:
            attempts.remove(attempt)
            self.record(self.name, f"an attempt of {tag} is no longer out: {why}")
            if not attempts:
                del self.out[tag]
            self.tell_group()

    def handle(self, connection, message):
        verb, tag = message["verb"], message["tag"]
        if verb == "START":
            self.starts.append((self.record.now(), tag, connection.number))
            if self.out.get(tag):
                self.record(self.name, f"second attempt of {tag}: another of it is out here")
            attempt = {"connection": connection, "at": self.record.now(), "stands": False}
            for other in self.out.get(tag, []):
                background(self.check_double(tag, other, attempt, other["stands"]))
            self.out.setdefault(tag, []).append(attempt)
            self.tell_group()
            background(self.answer(tag, attempt))
        elif verb == "FINISH":
            attempts = self.out.get(tag, [])
            self.released_by_gatekeeper.append((self.record.now(), tag, any(a["stands"] for a in attempts)))
            for attempt in list(attempts):
                self.end(tag, attempt, "released by the gatekeeper")
            connection.send("FINISHED", tag)
        elif verb == "ECHO":
            connection.send("ECHOED", tag, rc=1, opts={"load": self.group()})

    async def check_double(self, tag, first, second, first_stands):
        """Two attempts of a call count as out at once when both still are after 50 ms."""
        await asyncio.sleep(0.05)
        if first in self.out.get(tag, []) and second in self.out.get(tag, []):
            self.doubles.append((tag, first_stands))
            self.record(self.name, f"TWO ATTEMPTS of {tag} have been out at once for 50 ms")

    async def answer(self, tag, attempt):
        await asyncio.sleep(self.delay)
        if attempt not in self.out.get(tag, []):
            return
        attempt["stands"] = True
        attempt["connection"].send("STARTED", tag, blob=f"{self.name}:{tag}")
        if self.hold is not None:
            await asyncio.sleep(self.hold)
            self.finish(tag)

    def finish(self, tag, rc=16):
        """The call that stands has come to its end."""
        attempts = [a for a in self.out.get(tag, []) if a["stands"]]
        if not attempts:
            return None
        connection = attempts[0]["connection"]
        if connection not in self.connections:
            connection = self.connections[-1] if self.connections else None
        for attempt in attempts:
            self.end(tag, attempt, "the call has come to its end")
        if connection:
            connection.send("FINISH", tag, rc)
        self.unheard.append((tag, rc))
        return self.record.now()


# ---------------------------------------------------------------- callers

def parameter(code, value):
    value = value if isinstance(value, bytes) else str(value).encode()
    return struct.pack(">BH", code, len(value)) + value


def message(kind, call, *parameters):
    body = struct.pack(">BQ", kind, call) + b"".join(parameters)
    return struct.pack(">H", len(body)) + body


def set_up(call, service="licence-check", left_ms=9000, dest=1, number=None, via=-1, transit=False):
    return message(
        SET_UP, call, parameter(180, service), parameter(182, left_ms),
        parameter(188, number or f"{call:016x}"),
        parameter(190, f"dest:{dest};width:1;via:{via}" + (";transit:1" if transit else "")),
        parameter(210, f"caller:{call:016x}"))


class Caller:
    """A connection from a caller. It reads all that it is sent; `got` has (time, type, call, cause)."""

    def __init__(self, record, name):
        self.record, self.name = record, name
        self.got = []
        self.closed_at = None
        self.changed = asyncio.Event()

    async def open(self, address):
        ip, port = address.rsplit(":", 1)
        self.reader, self.writer = await asyncio.open_connection(ip, int(port))
        self.record(self.name, "connected")
        self.task = background(self.read())
        return self

    async def read(self):
        try:
            while True:
                (length,) = struct.unpack(">H", await self.reader.readexactly(2))
                body = await self.reader.readexactly(length)
                kind, call = struct.unpack(">BQ", body[:9])
                rest, cause, blob = body[9:], None, None
                while rest:
                    code, size = struct.unpack(">BH", rest[:3])
                    value, rest = rest[3:3 + size], rest[3 + size:]
                    if code == 208:
                        cause = value[0]
                    elif code == 210:
                        blob = value.decode("utf-8", "replace")
                self.record(self.name, f"< type {kind} call {call:016x}"
                            + (f" cause {cause}" if cause is not None else "")
                            + (f" description {blob!r}" if blob is not None else ""))
                self.got.append((self.record.now(), kind, call, cause))
                if kind == RELEASE:
                    self.writer.write(message(RELEASE_HEARD, call))
                self.changed.set()
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            self.closed_at = self.record.now()
            how = "reset" if isinstance(error, ConnectionError) else "closed"
            self.record(self.name, f"connection {how} by the gatekeeper")
            self.changed.set()

    def send(self, data, what):
        self.record(self.name, f"> {what}")
        if not self.writer.is_closing():
            self.writer.write(data)

    def close(self):
        self.record(self.name, "closes its connection")
        self.task.cancel()
        self.writer.close()

    def first(self, kind, call):
        return next((got for got in self.got if got[1] == kind and got[2] == call), None)

    async def wait_for(self, kind, call, timeout):
        """The first message of this type for this call; None if it does not come in time."""
        deadline = time.monotonic() + timeout
        while True:
            if got := self.first(kind, call):
                return got
            left = deadline - time.monotonic()
            if left <= 0 or self.closed_at is not None:
                return None
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


# ---------------------------------------------------------------- the network

class Proxy:
    """Stands on the way to a switch. `fall_quiet` makes the connections that are open now carry nothing in
    either direction, though they stay open; new connections work. `flow_again` delivers all that waits."""

    def __init__(self, record, name, target):
        self.record, self.name, self.target = record, name, target
        self.count, self.quiet, self.flowing = 0, set(), asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()

    def fall_quiet(self):
        self.quiet, self.flowing = set(range(1, self.count + 1)), asyncio.Event()
        self.record(self.name, f"connection(s) {sorted(self.quiet)} fall quiet and stay open")

    def flow_again(self):
        self.quiet = set()
        self.flowing.set()
        self.record(self.name, "all connections flow again")

    async def serve(self, reader, writer):
        self.count += 1
        number = self.count
        ip, port = self.target.rsplit(":", 1)
        far_reader, far_writer = await asyncio.open_connection(ip, int(port))
        await asyncio.gather(self.carry(number, reader, far_writer), self.carry(number, far_reader, writer))

    async def carry(self, number, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                if number in self.quiet:
                    await self.flowing.wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        writer.close()


# ---------------------------------------------------------------- the platform

class Platform:
    """Starts a gatekeeper with the `run` line of the deploy file and stops it."""

    def __init__(self, record, feed, name="n0", sockets=1024, memory_mb=192, **changes):
        self.record = record
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        probe = socket.socket()
        probe.bind((HOST, 0))
        self.address = "%s:%d" % probe.getsockname()
        probe.close()
        self.config = {"name": name, "listen": self.address, "seed": SEED,
                       "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
                       "feed": feed.address, "known": feed.known(), "settings": {**settings(), **changes}}
        self.path = os.path.join(self.folder.name, "config.json")
        self.write_config()
        self.process = None

    def write_config(self):
        with open(self.path + ".new", "w", encoding="utf-8") as file:
            json.dump(self.config, file)
        os.replace(self.path + ".new", self.path)

    async def start(self):
        environment = {**os.environ, "BALANCER_NAME": self.config["name"], "BALANCER_LISTEN": self.address,
                       "BALANCER_CONFIG": self.path, "TMPDIR": self.folder.name}
        command = deploy_commands()["run"]
        self.record("platform", f"starts: {command}")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env=environment, stderr=asyncio.subprocess.PIPE,
            stdin=asyncio.subprocess.DEVNULL)
        self.log = background(self.read_log())

    async def read_log(self):
        while line := await self.process.stderr.readline():
            self.record("gatekeeper log", line.decode(errors="replace").rstrip())

    async def wait_ready(self, timeout=10):
        """Waits until a test has passed; returns the connection that it came on."""
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            if self.process.returncode is not None:
                raise CannotRun("the gatekeeper has ended at its start")
            try:
                front = await Caller(self.record, "front").open(self.address)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            front.send(message(TEST, 0xAA, parameter(208, b"\0")), "test")
            got = await front.wait_for(TEST_RESULT, 0xAA, timeout)
            if got and got[3] == 1:
                return front
            front.close()
        raise CannotRun("the gatekeeper was not ready in time")

    def signal(self, number):
        self.record("platform", f"signal {signal.Signals(number).name}")
        self.process.send_signal(number)

    def memory_mb(self):
        """What the process holds in memory, in MB; 0 if it has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as status:
                for line in status:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) * 1024 / 1e6
        except OSError:
            pass
        return 0.0

    async def hold_to_memory_limit(self):
        """Kills the gatekeeper once it is over `memory_mb`, as the platform does."""
        limit = self.config["limits"]["memory_mb"]
        self.highest_mb = 0.0
        self.killed_at_mb = None
        next_line = 0.0
        while self.process.returncode is None:
            held = self.memory_mb()
            self.highest_mb = max(self.highest_mb, held)
            if self.record.now() >= next_line:
                next_line = self.record.now() + 1
                self.record("platform", f"the gatekeeper holds {held:.1f} MB of {limit} MB")
            if held > limit:
                self.record("platform", f"the gatekeeper holds {held:.1f} MB, over its limit: killed")
                self.killed_at_mb = held
                self.process.kill()
                await self.process.wait()
                return
            await asyncio.sleep(0.05)

    async def stop(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        self.folder.cleanup()


class Helper:
    """A further process of the test, such as a bad client."""

    @classmethod
    async def start(cls, *command):
        helper = cls()
        helper.process = await asyncio.create_subprocess_exec(*command, stdout=asyncio.subprocess.PIPE)
        return helper

    async def output(self):
        text, _ = await self.process.communicate()
        return text.decode().strip()

    async def stop(self):
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


def play(folder, case):
    """Plays a case, which returns a list of what broke the rule, and exits with its result. What the case
    appends to `started` is stopped at the end."""
    record = Record(os.path.join(folder, "record.txt"))
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))

    async def run():
        started = []
        record("case", f"TROUBLE={int(TROUBLE)}")
        try:
            return await asyncio.wait_for(case(record, started), 110)
        finally:
            for platform in started:
                await platform.stop()

    try:
        broken = asyncio.run(run())
    except Exception as error:
        record("case", f"COULD NOT RUN: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    for line in broken:
        record("case", f"RULE BROKEN: {line}")
        print(f"rule broken: {line}")
    if not broken:
        record("case", "the rule held")
        print("the rule held")
    sys.exit(BROKEN if broken else 0)
