"""Two edge nodes are killed twice before the meter's first figure. Do all of them together keep a customer's ceiling?"""
import os
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins_2 import Agent, CannotRun, Client, Node, Server, own_body, play, request_text, settings, start_thread

NODES = 3
SERVERS = 10
WORK_S = 0.1
# The plan `standard`, with the figures of the example of the settings; the slack is one of the largest requests.
RATE, DEPTH, SLACK, LARGEST = 5.1, 27.0, 4.0, 4
STANDARD = {"name": "standard", "refill": 2.3, "mostAtOnce": 12.0, "extraWorth": 0.2, "worthFactor": 1.3, "capRate": RATE,
            "capDepth": DEPTH, "tolerance": SLACK}
# "its slack widens by what the ceiling's rate yields in 150 ms"
WIDER_S = 0.15
# The meter finishes a period of 2 s, and adds it up 1.5 s later: "770 to 1,500 ms late".
PERIOD_S, LATE_S = 2.0, 1.5
CUSTOMER, SPREAD = 77, 2
# When the customer's two nodes are killed, in seconds from the start of the fleet: before the first figure.
KILLS_S = [1.1, 2.2]
ASKS_S = 3.3


class Usage:
    """All units that the fleet has sent on for each customer, in order: the meter, and the store of the ceiling."""

    def __init__(self):
        self.lock, self.started = threading.Lock(), None
        self.seen, self.takes = set(), {}

    def take(self, request):
        """Counts a try once, when its first attempt has arrived whole."""
        headers = request["headers"]
        customer = headers["cookie"].partition("=")[2]
        units = float(headers["api-terms"].partition("units=")[2].split(",")[0])
        with self.lock:
            if request["id"] not in self.seen:
                self.seen.add(request["id"])
                self.takes.setdefault(customer, []).append((request["at"], units))

    def figure(self, customer, rate):
        """The percentage of the rate used in the last period that is added up; None before the first one is."""
        with self.lock:
            since = time.monotonic() - self.started - LATE_S
            if since < PERIOD_S:
                return None
            end = self.started + since // PERIOD_S * PERIOD_S
            units = sum(units for at, units in self.takes.get(customer, []) if end - PERIOD_S <= at < end)
            return 100.0 * units / (PERIOD_S * rate)

    def lowest(self, customer):
        """How far the store of the ceiling has fallen, and the units that it has given by then."""
        store, last, lowest, sent, at_lowest = DEPTH, None, DEPTH, 0.0, 0.0
        for at, units in sorted(self.takes.get(customer, [])):
            store = min(DEPTH, store + (0.0 if last is None else RATE * (at - last))) - units
            last, sent = at, sent + units
            if store < lowest:
                lowest, at_lowest = store, sent
        return lowest, at_lowest


def booking_server(usage, first_figure):
    def behave(server, request):
        usage.take(request)
        time.sleep(WORK_S)
        customer = request["headers"]["cookie"].partition("=")[2]
        percent = usage.figure(customer, 2.3 if request["headers"]["api-plan"] == "standard" else 8.6)
        if percent is not None:
            first_figure.append(time.monotonic())
        return 200, {} if percent is None else {"Api-Usage": "%.0f" % percent}, own_body(request)

    return behave


def ask(node, record, request_id, plan, customer, answers=None):
    try:
        client = Client(node.address, 3)
        status, _, _ = client.ask(request_text(request_id, "space-check", plan, customer, 2000, 1, SPREAD, 0))
        client.close()
    except (OSError, EOFError):
        status = 0
    record("%s answered %s: %s" % (node.name, request_id, status or "no connection, or closed"))
    if answers is not None:
        answers.append(status)


def customers(node, record, usage, until):
    """Other customers ask now and then; the customer of `standard` asks for far more than its ceiling all the time."""
    count = 0
    while time.monotonic() < until:
        count += 1
        name = "%s-%d-%d" % (node.name, node.starts, count)
        if node.is_running():
            if count % 4 == 1:
                start_thread(ask, node, record, "other-" + name, "premium", 1000 + count + 500 * int(node.name[1:]))
            start_thread(ask, node, record, "ceiling-" + name, "standard", CUSTOMER)
        time.sleep(0.025)


def case(record, folder, trouble, nodes):
    usage, first_figure = Usage(), []
    behave = booking_server(usage, first_figure)
    servers = [Server("s-%d" % number, record, behave, "hall-" + "abc"[number % 3]) for number in range(SERVERS)]
    agent = Agent([server.entry() for server in servers], record)
    for rank in range(NODES):
        site = settings(rank, NODES)
        site["contracts"][1] = STANDARD
        nodes.append(Node(record, folder, agent, site, "n%d" % rank))
        nodes[-1].start()
    for node in nodes:
        node.wait_ready()
    usage.started = start = time.monotonic()
    for node in nodes[:SPREAD]:
        start_thread(customers, node, record, usage, start + ASKS_S)
    for kill_at in KILLS_S:
        time.sleep(max(0.0, start + kill_at - time.monotonic()))
        if trouble:
            for node in nodes[:SPREAD]:
                node.kill()
            for node in nodes[:SPREAD]:
                node.start()
            for node in nodes[:SPREAD]:
                node.wait_ready()
    time.sleep(max(0.0, start + ASKS_S + 2 - time.monotonic()))
    if first_figure and first_figure[0] < start + PERIOD_S + LATE_S:
        raise CannotRun("the meter told too early")
    lowest, sent = usage.lowest("%016x" % CUSTOMER)
    bound = -(SLACK + WIDER_S * RATE)
    record("the store of the ceiling fell to %.1f after %.0f units; it may fall to %.2f" % (lowest, sent, bound))
    if sent < DEPTH / 3:
        raise CannotRun("only %.0f units were sent on" % sent)
    if lowest < bound:
        return ["the store of the ceiling fell to %.1f, and may fall to %.2f; %.0f units were sent on by then" % (
            lowest, bound, sent)]
    return []


play(os.path.dirname(os.path.abspath(__file__)), case)
