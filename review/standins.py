"""Stand-ins for the clients, booking servers, discovery agent and platform, written from the pages.

Only the standard library is used. Everything runs in one asyncio loop on loopback addresses; the edge nodes are
separate processes that are started with the `run` command of deploy/balancer.toml.
"""

import asyncio
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START = time.monotonic()


class CannotRun(Exception):
    """The case could not run; the script exits with 2."""


class Record:
    """record.txt of a case: one line for each thing that was sent, answered or run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def line(self, text):
        self.file.write(f"{time.monotonic() - START:9.4f} {text}\n")

    def say(self, text):
        self.line(text)
        print(text, flush=True)

    def close(self):
        self.file.close()


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def close(writer):
    """Closes a connection, also while the loop is being shut down."""
    try:
        writer.close()
    except RuntimeError:
        pass


# ---------------------------------------------------------------- messages

async def read_message(reader):
    """Reads one HTTP/1.1 message; returns (first line, headers in lower case, body), or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise
    lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                break
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif lines[0].startswith("HTTP/") and " 204" not in lines[0]:
        body = await reader.read()
    return lines[0], headers, body


def deadline_ms(text):
    """Milliseconds of a Req-Deadline; None if it has none."""
    if text.endswith("m"):
        return float(text[:-1])
    if text.endswith("u"):
        return float(text[:-1]) / 1000.0
    return None


# ---------------------------------------------------------------- discovery

class Agent:
    """The discovery agent of one edge node: the whole list, and watches with an empty line every 2 s."""

    def __init__(self, record, targets):
        self.record = record
        self.rev = 1
        self.targets = {target["uid"]: target for target in targets}
        self.changes = []
        self.watches = set()
        self.delay = 0.0
        self.address = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def whole(self):
        return {"rev": self.rev, "all": True, "targets": list(self.targets.values())}

    def change(self, target):
        self.rev += 1
        if target["state"] == "DELETED":
            self.targets.pop(target["uid"], None)
        else:
            self.targets[target["uid"]] = target
        self.changes.append((self.rev, target))
        self.record.line(f"agent told {target['uid']} {target['state']} rev {self.rev}")
        for queue in self.watches:
            queue.put_nowait({"rev": self.rev, "all": False, "targets": [target]})

    async def serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                path = message[0].split(" ")[1]
                await asyncio.sleep(self.delay)
                if "stream=1" not in path:
                    body = json.dumps(self.whole()).encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                    await writer.drain()
                    continue
                index = int(path.split("index=")[1].split("&")[0])
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                queue = asyncio.Queue()
                newer = [target for rev, target in self.changes if rev > index]
                known = 0 < index <= self.rev
                queue.put_nowait({"rev": self.rev, "all": False, "targets": newer} if known else self.whole())
                self.watches.add(queue)
                try:
                    while True:
                        try:
                            text = json.dumps(await asyncio.wait_for(queue.get(), 2.0)).encode() + b"\n"
                        except asyncio.TimeoutError:
                            text = b"\n"
                        writer.write(b"%x\r\n" % len(text) + text + b"\r\n")
                        await writer.drain()
                finally:
                    self.watches.discard(queue)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            close(writer)


# ---------------------------------------------------------------- booking servers

class Meter:
    """Units first sent on for each customer, in periods; a period is told `late` seconds after its end."""

    def __init__(self, rates, period=2.0, late=1.0):
        self.rates, self.period, self.late = rates, period, late
        self.used, self.seen = {}, set()
        self.began = time.monotonic()

    def take(self, request_id, customer, units):
        if request_id in self.seen:
            return
        self.seen.add(request_id)
        key = (customer, int((time.monotonic() - self.began) / self.period))
        self.used[key] = self.used.get(key, 0.0) + units

    def usage(self, customer, plan):
        """The `Api-Usage` of an answer now, or None before the first period is told."""
        told = int((time.monotonic() - self.began - self.late) / self.period) - 1
        rate = self.rates.get(plan, 0.0)
        if told < 0 or rate <= 0.0:
            return None
        return 100.0 * self.used.get((customer, told), 0.0) / (rate * self.period)


class BookingServer:
    """A booking server with cores and a waiting room; `work` gives the seconds of work by class."""

    def __init__(self, name, record, work, meter=None, cores=3, zone="hall-a"):
        self.name, self.record, self.work, self.meter, self.zone = name, record, work, meter, zone
        self.cores = asyncio.Semaphore(cores)
        self.running = asyncio.Event()
        self.running.set()
        self.attempts = []
        self.serial = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def target(self, state="SERVING", boot_ms=0):
        return {"uid": self.name, "endpoint": f"127.0.0.1:{self.port}", "az": self.zone, "model": "full-core",
                "pod_group": 0, "state": state, "capacity_hint": 1.0, "boot_ms": boot_ms}

    def hang(self):
        self.record.say(f"{self.name} hangs")
        self.running.clear()

    def go_on(self):
        self.record.say(f"{self.name} goes on")
        self.running.set()

    async def sleep_while_running(self, seconds):
        """Work: passes only while the server does not hang."""
        while seconds > 0:
            await self.running.wait()
            step = min(seconds, 0.01)
            await asyncio.sleep(step)
            seconds -= step

    async def serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                await self.running.wait()
                await self.handle(message, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            close(writer)

    async def handle(self, message, writer):
        line, headers, body = message
        arrived = time.monotonic()
        request_id = headers.get("req-id", "-")
        kind = headers.get("req-kind", "-")
        self.attempts.append((arrived, request_id, kind))
        self.record.line(f"{self.name} got {request_id} {kind} deadline={headers.get('req-deadline')}")
        customer = headers.get("cookie", "").partition("customer=")[2]
        terms = dict(pair.split("=") for pair in headers.get("api-terms", "units=1").split(","))
        if self.meter:
            self.meter.take(request_id, customer, float(terms["units"]))
        left = deadline_ms(headers.get("req-deadline", "")) or 1e9
        async with self.cores:
            await self.running.wait()
            if (time.monotonic() - arrived) * 1000.0 >= left:
                # A request whose time-out has passed is not begun.
                writer.write(b"HTTP/1.1 504 Late\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
                self.record.line(f"{self.name} did not begin {request_id}")
                return
            await self.sleep_while_running(self.work[kind])
        self.serial += 1
        answer = f"{self.name} made {request_id} run {self.serial}".encode()
        self.record.line(f"{self.name} ran {request_id} run {self.serial}")
        extra = ""
        usage = self.meter.usage(customer, headers.get("api-plan")) if self.meter else None
        if usage is not None:
            extra = f"Api-Usage: {usage:.0f}\r\n"
        writer.write(f"HTTP/1.1 200 OK\r\n{extra}Content-Length: {len(answer)}\r\n\r\n".encode() + answer)
        await writer.drain()


class Link:
    """The network between one edge node and one booking server: an address of its own, and a cut.

    While it is cut nothing passes and nothing is said: open connections stay open and silent, and what was written
    to them arrives after the cut. Connections made during the cut are reset once it is over."""

    def __init__(self, server):
        self.server = server
        self.whole = asyncio.Event()
        self.whole.set()

    async def start(self):
        listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.listener = listener
        self.port = listener.sockets[0].getsockname()[1]

    def target(self, **changes):
        return dict(self.server.target(**changes), endpoint=f"127.0.0.1:{self.port}")

    async def serve(self, reader, writer):
        if not self.whole.is_set():
            await self.whole.wait()
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            writer.close()
            return
        try:
            there_reader, there_writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        except OSError:
            writer.close()
            return
        await asyncio.gather(self.carry(reader, there_writer), self.carry(there_reader, writer))

    async def carry(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.whole.wait()
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        await self.whole.wait()
        close(writer)


# ---------------------------------------------------------------- edge nodes

def settings(classes, contracts, **changes):
    """Settings of a small deployment, with the figures of the pages' example."""
    result = {
        "allowed": {"cancel": True, "connectTimeoutMs": 250.0, "cpuUsPerRequest": 0.0, "cpuUsPerS": 500000,
                    "keepaliveMs": 30000.0, "maxOpen": 20000, "maxRetryAfterMs": 500.0, "maxStreams": 100,
                    "mayProbe": True, "mostTries": 5, "peers": False, "retryAfter": True, "secondCopies": True},
        "az": "hall-a", "balancers": 1, "callers": {"marksRetry": True}, "classes": classes,
        "contracts": contracts, "dcs": ["hall-a", "hall-b", "hall-c"], "discovery": "automatic",
        "domain": {"counter": False, "counterPrice": 0.0, "counterTimeoutMs": 80.0, "peerInPerS": 0.0,
                   "truedUp": False, "unitsTop": 4, "usePeriodMs": 2000.0},
        "goal": {"whole": 0.65, "worstClass": 0.0, "worstTenant": 0.15, "worstWindow": 0.2},
        "kinds": ["full-core", "slow-core"], "layers": ["booking-fleet"],
        "prices": {"connection": 0.0, "crossZone": 0.01, "discovery": 0.0, "handshake": 0.0, "lateFail": 0.03,
                   "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.01, "waste": 0.05},
        "rank": 0,
        "rules": {"answerSlackMs": 8.0, "askEveryMs": 10000.0, "coldFrom": 0.18, "drainGraceMs": 250.0,
                  "fallMultiple": 2.5, "overloadForMs": 1000.0, "warmAfterMs": 17000.0},
        "stage": 0, "stats": {"fields": ["qps", "latency_ms"], "via": "on_probe"}, "stepMs": 2.0,
        "weightSource": "rough", "workload": "gate"}
    result.update(changes)
    return result


def request_class(name, aim, deadline, worth, effect="safe", late=0.0, window=5000.0, scope="all"):
    return {"name": name, "aimMs": aim, "deadlineMs": deadline, "worth": worth, "effect": effect,
            "keyScope": scope, "lateWorth": late, "stream": False, "windowMs": window}


def plan(name, refill, burst, factor=1.0, extra=0.0, cost=0.0, cap_rate=0.0, cap_depth=0.0, tolerance=0.0):
    return {"name": name, "refill": refill, "mostAtOnce": burst, "worthFactor": factor, "extraWorth": extra,
            "excessCost": cost, "capRate": cap_rate, "capDepth": cap_depth, "tolerance": tolerance, "parallel": 0}


class Node:
    """One edge node, as the platform starts it."""

    def __init__(self, record, folder, name, agent, node_settings, known=None, memory_mb=192, sockets=1024):
        self.record, self.name = record, name
        self.listen = f"127.0.0.1:{free_port()}"
        self.folder = tempfile.mkdtemp(prefix=f"{name}-", dir=folder)
        self.config_path = os.path.join(self.folder, "config.json")
        self.config = {"name": name, "listen": self.listen, "discovery": agent.address, "seed": "0",
                       "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
                       "known": known, "settings": node_settings}
        self.process = None

    def start(self):
        self.config["seed"] = "%016x" % random.getrandbits(64)
        with open(self.config_path, "w", encoding="utf-8") as file:
            json.dump(self.config, file)
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
            command = re.search(r'^run = "(.*)"$', file.read(), re.MULTILINE).group(1)
        environment = dict(os.environ, RELAY_NAME=self.name, RELAY_LISTEN=self.listen,
                           RELAY_DISCOVERY=self.config["discovery"], RELAY_CONFIG=self.config_path,
                           TMPDIR=self.folder)
        log = open(os.path.join(self.folder, "log.txt"), "ab")
        self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log,
                                        stderr=log, stdin=subprocess.DEVNULL)
        log.close()
        self.record.say(f"{self.name} started")

    def kill(self):
        self.record.say(f"{self.name} killed")
        self.process.kill()
        self.process.wait()

    async def ready(self, seconds=10.0):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CannotRun(f"{self.name} ended with {self.process.returncode}")
            try:
                if (await exchange(self.listen, b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"))[0] == 200:
                    return
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.02)
        raise CannotRun(f"{self.name} is not ready after {seconds} s")

    def alive(self):
        return self.process is not None and self.process.poll() is None

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


# ---------------------------------------------------------------- clients

async def exchange(address, data):
    """One request on a new connection; returns (status, headers, body), or None if it is closed unanswered."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(data)
        message = await read_message(reader)
        if message is None:
            return None
        return int(message[0].split(" ")[1]), message[1], message[2]
    finally:
        writer.close()


class Client:
    """A usual client: one request at a time on a connection, connections are kept."""

    def __init__(self, record, address):
        self.record, self.address = record, address
        self.idle = []
        self.serial = 0
        self.prefix = "%08x" % random.getrandbits(32)
        self.results = []
        self.not_connected = set()

    def head(self, request_id, kind, effect, customer, plan_name, units, spread, first, deadline, body, retry):
        lines = ["GET /api HTTP/1.1" if effect == "safe" else "POST /api HTTP/1.1", "Host: service.internal",
                 f"Req-Id: {request_id}", f"Req-Kind: {kind}", f"Api-Plan: {plan_name}",
                 f"Cookie: customer={customer:016x}", f"Req-Deadline: {deadline}m",
                 f"Api-Terms: units={units},spread={spread},first={first}"]
        if effect == "keyed":
            lines.append("Idempotency-Key: %032x" % random.getrandbits(128))
        if effect != "safe":
            lines.append(f"Content-Length: {len(body)}")
        if retry:
            lines.append("Req-Retry: 1")
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + (body if effect != "safe" else b"")

    async def send(self, kind, effect, customer, plan_name, units=1, spread=1, first=0, deadline=4000,
                   body=b"booking", retry=False):
        """Sends one request; returns (sent at, kind, status or None, seconds, request id, body)."""
        self.serial += 1
        request_id = f"{self.prefix}{self.serial:08x}"
        data = self.head(request_id, kind, effect, customer, plan_name, units, spread, first, deadline, body, retry)
        sent = time.monotonic()
        status, answer = None, b""
        again = True
        while again:
            again = False
            reused = bool(self.idle)
            writer = None
            try:
                if reused:
                    reader, writer = self.idle.pop()
                else:
                    host, port = self.address.split(":")
                    reader, writer = await asyncio.open_connection(host, int(port))
                self.record.line(f"client sent {request_id} {kind} units={units} deadline={deadline}")
                writer.write(data)
                message = await asyncio.wait_for(read_message(reader), deadline / 1000.0 + 1.0)
                if message is None:
                    raise ConnectionResetError("closed without an answer")
                status, answer = int(message[0].split(" ")[1]), message[2]
                if message[1].get("connection", "") == "close":
                    writer.close()
                else:
                    self.idle.append((reader, writer))
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
                self.record.line(f"client {request_id} no answer: {type(error).__name__}")
                if writer is None:
                    self.not_connected.add(request_id)
                else:
                    writer.close()
                # The close of a resting connection crossed the request: once more on a new connection.
                again = reused and isinstance(error, (ConnectionError, asyncio.IncompleteReadError))
                if again:
                    while self.idle:
                        self.idle.pop()[1].close()
        took = time.monotonic() - sent
        self.record.line(f"client {request_id} answered {status} after {took:.3f} s")
        result = (sent, kind, status, took, request_id, answer)
        self.results.append(result)
        return result


# ---------------------------------------------------------------- a case

async def run_quietly(case, *arguments):
    """Runs a case for 115 s at most. What its stand-ins still hold at the end is cancelled without a word."""
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    return await asyncio.wait_for(case(*arguments), 115)


def play(folder, case):
    """Runs `case(record, temporary folder, list of nodes)`, which returns True if the rule held.

    Exits with 10 if the rule was broken, so that run.sh can tell that from a fault of Python, which exits with 1."""
    record = Record(folder)
    nodes = []
    code = 2
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    try:
        if not os.path.exists(os.path.join(ROOT, "target", "release", "edge-gateway")):
            raise CannotRun("the build of the deploy file is missing")
        with tempfile.TemporaryDirectory() as temporary:
            try:
                held = asyncio.run(run_quietly(case, record, temporary, nodes))
                code = 0 if held else 10
            finally:
                for node in nodes:
                    node.end()
    except Exception as error:
        record.say(f"could not run: {type(error).__name__} {error}")
    record.say({0: "the rule held", 10: "the rule was broken", 2: "the case could not run"}[code])
    record.close()
    sys.exit(code)
