"""Stand-ins and helpers for the cases 6 to 10: the platform, discovery's agent, booking servers and clients.

They follow PROTOCOL-wheatusher.md. Everything listens at free ports of the loopback address, and runs as threads of
the script, but for the edge node, which is a process of its own, started with the command of deploy/balancer.toml.
"""
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HOST = "127.0.0.1"
SIZE = 65536


class CannotRun(Exception):
    """The case could not be played; the script exits with 2."""


class Record:
    """What was sent, answered and run, with seconds since the start; written to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def __call__(self, text):
        with self.lock:
            self.file.write("%8.3f  %s\n" % (time.monotonic() - self.start, text))
            self.file.flush()


def listener():
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((HOST, 0))
    sock.listen(512)
    return sock


def free_port():
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((HOST, 0))
    port = sock.getsockname()[1]
    sock.close()
    return port


def start_thread(target, *arguments):
    threading.Thread(target=target, args=arguments, daemon=True).start()


def parse_head(head):
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class Reader:
    """Reads HTTP messages from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.data = b""

    def fill(self):
        chunk = self.sock.recv(SIZE)
        if not chunk:
            raise EOFError
        self.data += chunk

    def head(self):
        while b"\r\n\r\n" not in self.data:
            self.fill()
        head, _, self.data = self.data.partition(b"\r\n\r\n")
        return parse_head(head)

    def exactly(self, length):
        while len(self.data) < length:
            self.fill()
        body, self.data = self.data[:length], self.data[length:]
        return body

    def body(self, headers):
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                while b"\r\n" not in self.data:
                    self.fill()
                line, _, self.data = self.data.partition(b"\r\n")
                length = int(line.split(b";")[0], 16)
                body += self.exactly(length)
                self.exactly(2)
                if length == 0:
                    return body
        return self.exactly(int(headers.get("content-length", "0")))


class Server:
    """A booking server. `behave(server, request)` returns (status, headers, body) or does the answer itself."""

    def __init__(self, name, record, behave=None, zone="hall-a"):
        self.name, self.record, self.behave, self.zone = name, record, behave, zone
        self.sock = listener()
        self.address = "%s:%d" % self.sock.getsockname()
        self.requests = []
        self.lock = threading.Lock()
        start_thread(self.accept)

    def entry(self, state="SERVING", boot_ms=0):
        return {"uid": self.name, "endpoint": self.address, "az": self.zone, "model": "full-core", "pod_group": 0,
                "state": state, "capacity_hint": 1.0, "boot_ms": boot_ms}

    def accept(self):
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            start_thread(self.serve, sock)

    def serve(self, sock):
        reader = Reader(sock)
        try:
            while True:
                line, headers = reader.head()
                body = reader.body(headers)
                request = {"at": time.monotonic(), "line": line, "headers": headers, "body": body,
                           "id": headers.get("req-id"), "server": self.name, "sock": sock, "reader": reader}
                with self.lock:
                    self.requests.append(request)
                self.record("%s ran   %s id=%s deadline=%s body=%d bytes" % (
                    self.name, line, request["id"], headers.get("req-deadline"), len(body)))
                answer = self.behave(self, request) if self.behave else None
                if answer == "done":
                    continue
                status, extra, content = answer or (200, {}, own_body(request))
                sock.sendall(response(status, extra, content))
        except (EOFError, OSError, ValueError):
            pass
        finally:
            sock.close()


def own_body(request):
    """The body of a 200 that was made for this request."""
    return b"served " + str(request["id"]).encode() + b"\n"


def response(status, headers, body):
    head = "HTTP/1.1 %d X\r\nContent-Length: %d\r\n" % (status, len(body))
    head += "".join("%s: %s\r\n" % item for item in headers.items())
    return head.encode() + b"\r\n" + body


class Agent:
    """The agent of discovery on the node's machine: whole lists, and watches with an empty line every 2 s."""

    def __init__(self, entries, record, rev=10):
        self.entries = {entry["uid"]: entry for entry in entries}
        self.rev, self.record = rev, record
        self.watches = []
        self.lock = threading.Lock()
        self.sock = listener()
        self.address = "%s:%d" % self.sock.getsockname()
        start_thread(self.accept)

    def whole(self):
        return json.dumps({"rev": self.rev, "all": True, "targets": list(self.entries.values())})

    def accept(self):
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            start_thread(self.serve, sock)

    def serve(self, sock):
        reader = Reader(sock)
        try:
            while True:
                line, headers = reader.head()
                reader.body(headers)
                if "stream=1" not in line:
                    with self.lock:
                        body = self.whole().encode()
                    sock.sendall(response(200, {"Content-Type": "application/json"}, body))
                    continue
                index = int(re.search(r"index=(\d+)", line).group(1))
                with self.lock:
                    sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                    if index != self.rev:
                        send_chunk(sock, self.whole() + "\n")
                    self.watches.append(sock)
                while True:
                    time.sleep(2)
                    with self.lock:
                        send_chunk(sock, "\n")
        except (EOFError, OSError, ValueError):
            pass
        finally:
            with self.lock:
                if sock in self.watches:
                    self.watches.remove(sock)
            sock.close()

    def change(self, entries):
        """Pushes changed entries to all watches."""
        with self.lock:
            self.rev += 1
            for entry in entries:
                if entry["state"] == "DELETED":
                    self.entries.pop(entry["uid"], None)
                else:
                    self.entries[entry["uid"]] = entry
            text = json.dumps({"rev": self.rev, "all": False, "targets": entries}) + "\n"
            for sock in list(self.watches):
                try:
                    send_chunk(sock, text)
                except OSError:
                    pass
        self.record("agent told %s" % ", ".join("%s %s" % (e["uid"], e["state"]) for e in entries))


def send_chunk(sock, text):
    data = text.encode()
    sock.sendall(b"%x\r\n%s\r\n" % (len(data), data))


def settings(rank=0, balancers=3, classes=None, allowed=None, contracts=None, domain=None):
    """The settings of a small deployment, of the form and size of the site amman-airport-parks."""
    permissions = {"cancel": True, "connectTimeoutMs": 250.0, "keepaliveMs": 30000.0, "maxRetryAfterMs": 500.0,
                   "mayProbe": True, "mostTries": 5, "retryAfter": True, "secondCopies": True}
    permissions.update(allowed or {})
    return {
        "allowed": permissions, "az": "hall-a", "balancers": balancers, "callers": {"marksRetry": True},
        "classes": classes or [
            {"name": "space-check", "aimMs": 1500.0, "deadlineMs": 4000.0, "effect": "safe", "keyScope": "all",
             "lateWorth": 0.2, "windowMs": 5000.0, "worth": 3.0},
            {"name": "booking-view", "aimMs": 3000.0, "deadlineMs": 8000.0, "effect": "safe", "keyScope": "all",
             "lateWorth": 0.0, "windowMs": 5000.0, "worth": 3.0},
            {"name": "book-pay", "aimMs": 4000.0, "deadlineMs": 20000.0, "effect": "keyed", "keyScope": "all",
             "lateWorth": 0.0, "windowMs": 12000.0, "worth": 5.0}],
        "contracts": contracts or [
            {"name": "basic", "refill": 1.4, "mostAtOnce": 6.0, "excessCost": 0.5, "worthFactor": 0.72},
            {"name": "standard", "refill": 2.3, "mostAtOnce": 12.0, "extraWorth": 0.2, "worthFactor": 1.3,
             "capRate": 5.1, "capDepth": 27.0, "tolerance": 3.0},
            {"name": "premium", "refill": 8.6, "mostAtOnce": 23.0, "excessCost": 1.0, "worthFactor": 1.4}],
        "dcs": ["hall-a", "hall-b", "hall-c"], "discovery": "automatic",
        "domain": domain or {"counter": True, "counterPrice": 0.02, "counterTimeoutMs": 80.0, "unitsTop": 4,
                             "usePeriodMs": 2000.0},
        "prices": {"crossZone": 0.01, "lateFail": 0.03, "probe": 0.01, "waste": 0.05}, "rank": rank,
        "rules": {"answerSlackMs": 8.0, "coldFrom": 0.18, "drainGraceMs": 250.0, "fallMultiple": 2.5,
                  "overloadForMs": 1000.0, "warmAfterMs": 17000.0},
        "stats": {"fields": ["qps", "latency_ms"], "via": "on_probe"}}


class Node:
    """One edge node, started as the platform does: the `run` of the deploy file, by /bin/sh -c from the root."""

    def __init__(self, record, folder, agent, node_settings, name="n0", limits=None, known=None):
        self.record, self.folder, self.name = record, folder, name
        self.port = free_port()
        self.address = (HOST, self.port)
        self.agent, self.settings, self.known = agent, node_settings, known
        self.limits = limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        self.process, self.starts = None, 0

    def configuration(self, discovery):
        return {"name": self.name, "listen": "%s:%d" % self.address, "discovery": discovery,
                "seed": "%016x" % (0x8c1f30d27a5be964 + self.starts), "limits": self.limits,
                "counter": "%s:9" % HOST, "known": self.known, "settings": self.settings}

    def write_configuration(self, discovery):
        path = os.path.join(self.folder, self.name + ".json")
        with open(path + ".new", "w") as file:
            json.dump(self.configuration(discovery), file)
        os.replace(path + ".new", path)
        return path

    def start(self):
        self.starts += 1
        path = self.write_configuration(self.agent.address)
        deploy = open(os.path.join(ROOT, "deploy", "balancer.toml")).read()
        command = re.search(r'^run = "(.*)"$', deploy, re.M).group(1)
        environment = dict(os.environ, RELAY_NAME=self.name, RELAY_LISTEN="%s:%d" % self.address,
                           RELAY_DISCOVERY=self.agent.address, RELAY_CONFIG=path, TMPDIR=self.folder)
        environment.setdefault("RELAY_LOG", "warn")
        log = open(os.path.join(self.folder, "%s-%d.log" % (self.name, self.starts)), "w")
        self.log_path = log.name
        self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log, stderr=log,
                                        stdin=subprocess.DEVNULL)
        self.record("%s started" % self.name)

    def wait_ready(self, seconds=10.0):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CannotRun("%s ended with %s" % (self.name, self.process.returncode))
            try:
                sock = socket.create_connection(self.address, 1)
                sock.settimeout(1)
                sock.sendall(b"GET /up HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n")
                ready = sock.recv(64).startswith(b"HTTP/1.1 200")
                sock.close()
                if ready:
                    self.record("%s ready" % self.name)
                    return
            except OSError:
                pass
            time.sleep(0.02)
        raise CannotRun("%s is not ready after %.0f s" % (self.name, seconds))

    def send_signal(self, number):
        self.process.send_signal(number)
        self.record("%s gets %s" % (self.name, signal.Signals(number).name))

    def kill(self):
        self.send_signal(signal.SIGKILL)
        self.process.wait()

    def is_running(self):
        return self.process is not None and self.process.poll() is None


def request_text(request_id, kind="space-check", plan="premium", customer=1, deadline_ms=3000, units=1, spread=2, first=0,
                 key=None, body=b"", path="/api", extra=""):
    method = "GET" if key is None and not body else "POST"
    lines = ["%s %s HTTP/1.1" % (method, path), "Host: service.internal", "Req-Id: " + request_id, "Req-Kind: " + kind,
             "Api-Plan: " + plan, "Cookie: customer=%016x" % customer, "Req-Deadline: %dm" % deadline_ms,
             "Api-Terms: units=%d,spread=%d,first=%d" % (units, spread, first)]
    if key is not None:
        lines.append("Idempotency-Key: " + key)
    if method == "POST":
        lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n" + extra + "\r\n").encode() + body


def read_response(reader):
    """Returns (status, headers, body)."""
    line, headers = reader.head()
    return int(line.split()[1]), headers, reader.body(headers)


class Client:
    """A client's connection, which carries one request at a time."""

    def __init__(self, address, timeout=10.0):
        self.sock = socket.create_connection(address, 5)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.settimeout(timeout)
        self.reader = Reader(self.sock)

    def ask(self, text):
        self.sock.sendall(text)
        return read_response(self.reader)

    def close(self):
        self.sock.close()


def stop(number, frame):
    raise CannotRun("told to stop")


def play(folder, case):
    """Runs `case(record, temporary folder, trouble)`, which returns a list of broken rules, and exits as asked for."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    temporary = tempfile.mkdtemp(prefix="review-")
    nodes = []
    signal.signal(signal.SIGTERM, stop)
    try:
        record("with the disruption" if trouble else "without the disruption (TROUBLE=0)")
        broken = case(record, temporary, trouble, nodes)
        for line in broken:
            record("BROKEN: " + line)
        record("the rule was broken" if broken else "the rule held")
        print("\n".join(broken) if broken else "the rule held")
        code = 1 if broken else 0
    except Exception as error:  # whatever fails in the script is no break of the rule
        record("could not run: %r" % error)
        print("could not run: %r" % error)
        code = 2
    finally:
        for node in nodes:
            if node.is_running():
                node.process.kill()
                node.process.wait()
        if os.environ.get("KEEP"):
            print(temporary)
        else:
            shutil.rmtree(temporary, ignore_errors=True)
    sys.stdout.flush()
    os._exit(code)
