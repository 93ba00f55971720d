"""Bad clients send hundreds of requests at once, each for another customer. Does the edge node keep its memory limit?"""
import os
import random
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins_2 import Agent, CannotRun, Client, Node, Server, play, request_text, settings, start_thread

# The lowest limits of the days that are scored.
LIMITS = {"cores": 1.0, "memory_mb": 32, "sockets": 256}
BALANCERS = 3
WORK_S = 0.135
# A bad client sends this many requests at once, reads what it is sent, and closes.
REQUESTS = 500
AT_ONCE = 6
MOST_CLIENTS = 900
TROUBLE_S = 25.0
# Quota of a customer of `basic`, from the lowest figures of the site: 0.96 units a second, two of the largest requests.
BASIC = {"name": "basic", "refill": 0.96, "mostAtOnce": 8.0, "excessCost": 0.5, "worthFactor": 0.72}


def work(server, request):
    time.sleep(WORK_S)


def resident_mb(process):
    with open("/proc/%d/status" % process.pid) as status:
        for line in status:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0.0


class Platform:
    """Kills the node when it is over its memory limit, as the page of the deployment says."""

    def __init__(self, node, record):
        self.node, self.record = node, record
        self.peak, self.killed_at = 0.0, None

    def run(self):
        while self.node.is_running():
            try:
                resident = resident_mb(self.node.process)
            except OSError:
                return
            if resident > self.peak + 1:
                self.record("%s holds %.1f MB" % (self.node.name, resident))
            self.peak = max(self.peak, resident)
            if resident > LIMITS["memory_mb"]:
                self.killed_at = time.monotonic()
                self.node.send_signal(signal.SIGKILL)
                return
            time.sleep(0.02)


class BadClients:
    def __init__(self, node, record):
        self.node, self.record = node, record
        self.lock = threading.Lock()
        self.clients = self.answers = 0
        template = request_text("@" * 12, "space-check", "basic", 0, 60, 4, BALANCERS)
        before, after = template.split(b"@" * 12)
        middle, rest = after.split(b"0" * 16)
        self.parts = before, middle, rest

    def run(self, until):
        while time.monotonic() < until and self.node.is_running():
            with self.lock:
                if self.clients >= MOST_CLIENTS:
                    return
                self.clients += 1
                number = self.clients
            numbers = random.Random(number)
            before, middle, rest = self.parts
            requests = b"".join(before + b"%05x-%06x" % (number, index) + middle + b"%016x" % numbers.getrandbits(32)
                                + rest for index in range(REQUESTS))
            try:
                sock = socket.create_connection(self.node.address, 5)
                sock.settimeout(5)
                start_thread(self.send, sock, requests)
                answers, tail = 0, b""
                while answers < REQUESTS:
                    data = sock.recv(1 << 16)
                    if not data:
                        break
                    data = tail + data
                    answers += data.count(b"HTTP/1.1 ")
                    tail = data[-8:]
                sock.close()
                with self.lock:
                    self.answers += answers
                    if self.clients % 20 == 0:
                        self.record("bad client %d has sent %d requests at once and got %d answers" % (
                            number, REQUESTS, answers))
            except OSError:
                pass

    @staticmethod
    def send(sock, data):
        try:
            sock.sendall(data)
        except OSError:
            pass


def usual_client(node, record, until, answers):
    client, count = Client(node.address, 10), 0
    while time.monotonic() < until and node.is_running():
        count += 1
        try:
            status, headers, _ = client.ask(request_text("usual-%d" % count, "space-check", "premium", 5, 4000, 1, 2))
        except (OSError, EOFError):
            status, headers = 0, {}
        answers.append(status)
        record("answered usual-%d: %d" % (count, status))
        if status == 0:
            return
        if headers.get("connection") == "close":
            client = Client(node.address, 10)
        time.sleep(0.5)


def case(record, folder, trouble, nodes):
    servers = [Server("s-%d" % number, record, work) for number in range(4)]
    agent = Agent([server.entry() for server in servers], record)
    site = settings(0, BALANCERS)
    site["contracts"][0] = BASIC
    node = Node(record, folder, agent, site, limits=LIMITS)
    nodes.append(node)
    node.start()
    node.wait_ready()
    platform = Platform(node, record)
    start_thread(platform.run)
    answers, bad_clients = [], BadClients(node, record)
    until = time.monotonic() + 3 + TROUBLE_S
    start_thread(usual_client, node, record, until, answers)
    time.sleep(3)
    if not answers or any(status != 200 for status in answers):
        raise CannotRun("a usual request was not served before the disruption")
    if trouble:
        for _ in range(AT_ONCE):
            start_thread(bad_clients.run, until)
    while time.monotonic() < until and node.is_running():
        time.sleep(0.05)
    time.sleep(0.5)
    record("%d bad clients, %d answers to them; at most %.1f MB of %d MB" % (
        bad_clients.clients, bad_clients.answers, platform.peak, LIMITS["memory_mb"]))
    if platform.killed_at:
        return ["the node held %.1f MB with a limit of %d MB, and was killed for it, after %d bad clients" % (
            platform.peak, LIMITS["memory_mb"], bad_clients.clients)]
    if not node.is_running():
        return ["the node ended with %s" % node.process.returncode]
    return []


play(os.path.dirname(os.path.abspath(__file__)), case)
