"""A call hangs, the connection for the hedged attempt comes up late. Is the message still delivered or ended?

12 destinations of one endpoint each take the same steps one after the other, 1.1 s apart:
1. One message is delivered; the connection stays open.
2. Message `slow-N` is taken on. Its call, on that connection, hangs at the endpoint.
3. From 1 s after that on, connections to the endpoint come up 1 s late.
4. 1.25 s after it, a clump of 6 messages for the same destination is handed in, 0.7 ms apart.
"""
import os
import select
import socket
import sys
import threading

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standins  # noqa: E402
from standins import Agent, Endpoint, Reader, Sender, answer, now, request, run_case, submit  # noqa: E402
import time  # noqa: E402

DESTINATIONS = 12
STEP_S = 1.1
BUDGET_MS = 8000
# 300 ms by the rule, and 50 ms that every time limit is longer on sockets.
GRACE_MS = 350
HANG_S = 10
CLUMP = 6
CLUMP_GAP_S = 0.0007
CLUMP_AFTER_S = 1.249
# The window of the notices and the deadlines of both classes, as on a `brink` day.
WINDOW_MS = 1670
GIVE_UP_MS = 12000


class TroubledEndpoint(Endpoint):
    """Can let one call hang, and can let connections come up late."""

    hangs_on = None
    held = False
    accepted = 0

    def accept(self):
        while True:
            if self.held or not select.select([self.listener], [], [], 0.005)[0] or self.held:
                time.sleep(0.001)
                continue
            sock, _ = self.listener.accept()
            self.accepted += 1
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def connections_come_up_late(self, seconds):
        """
        Fills the queue of the listening socket and empties it again after that time. A connect in between comes up
        when the system tries again, one second after its first try.
        """
        self.listener.listen(0)
        self.held = True
        time.sleep(0.02)
        fillers = []
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            fillers.append(filler)
        time.sleep(seconds)
        for filler in fillers:
            filler.close()
        self.accepted -= len(fillers)
        self.held = False

    def handle(self, sock, line, headers, body):
        message_id = headers.get("x-call-id")
        if message_id is not None and message_id == self.hangs_on:
            self.record.write("the call with %s hangs at %s" % (message_id, self.name))
            sock.settimeout(HANG_S)
            try:
                sock.recv(1, socket.MSG_PEEK)
            except TimeoutError:
                pass
            else:
                # The sender has ended its sending or the connection: it has given up the call, which has not run.
                self.record.write("the sender gave up the call with %s; it has not run" % message_id)
                raise EOFError
            sock.settimeout(None)
        super().handle(sock, line, headers, body)


class ClosingEndpoint(Endpoint):
    """Closes each connection after its answer."""

    accepted = 0

    def handle(self, sock, line, headers, body):
        self.accepted += 1
        time.sleep(self.work_ms / 1000)
        if ":batch" in line:
            sock.sendall(answer("503 Service Unavailable", headers=["Connection: close"]))
        else:
            self.ran(headers["x-call-id"], body)
            sock.sendall(answer("200 OK", headers=["Connection: close"]))
        raise EOFError


class Clump:
    """Several clients with a connection each; each hands in one message."""

    def __init__(self, sender, record, dest, at):
        self.record = record
        self.taken = {}
        sockets = [sender.connect() for _ in range(CLUMP)]
        for k, sock in enumerate(sockets):
            until = at + k * CLUMP_GAP_S
            time.sleep(max(0, until - now() - 0.002))
            while now() < until:
                pass
            sock.sendall(request("clump-%d-%d" % (dest, k), "order-notice", dest, b"{}", BUDGET_MS))
        sent_at = now()
        for k, sock in enumerate(sockets):
            message_id = "clump-%d-%d" % (dest, k)
            status = None
            try:
                sock.settimeout(max(0.01, sent_at + 0.4 - now()))
                status = int(Reader(sock).message()[0].split(" ")[1])
            except (OSError, EOFError):
                pass
            record.write("sent %s; answered %s" % (message_id, status))
            if status in (200, 202):
                self.taken[message_id] = sent_at
            sock.close()


def play(record, trouble):
    standins.CLASSES[0].update(window_ms=WINDOW_MS, give_up_ms=GIVE_UP_MS)
    standins.CLASSES[1].update(give_up_ms=GIVE_UP_MS)
    agent = Agent(record)
    endpoints = [TroubledEndpoint(record, "e%d" % i, i, kind="large-partner") for i in range(DESTINATIONS)]
    other = ClosingEndpoint(record, "e99", 99, kind="mid-partner")
    agent.instances = [e.entry() for e in endpoints + [other]]
    sender = Sender(agent, kinds=("large-partner", "mid-partner", "small-partner"), batch=(5, 1, 1))
    if not sender.start():
        record.write("the sender did not get ready: " + sender.log())
        return 2
    taken = {}
    ended = threading.Event()

    def other_traffic():
        """25 messages a second for another destination."""
        n = 0
        while not ended.is_set():
            submit(sender, record, "other-%d" % n, "order-notice", 99, b"{}", GIVE_UP_MS)
            n += 1
            time.sleep(0.04)

    def steps(endpoint):
        dest = endpoint.dest
        submit(sender, record, "first-%d" % dest, "order-notice", dest, b"{}", BUDGET_MS)
        time.sleep(0.4)
        message_id = "slow-%d" % dest
        if trouble:
            endpoint.hangs_on = message_id
        status, sent_at = submit(sender, record, message_id, "order-notice", dest, b"{}", BUDGET_MS)
        answered_at = now()
        if status not in (200, 202):
            return
        taken[message_id] = sent_at
        time.sleep(1.0)
        if trouble:
            threading.Thread(target=endpoint.connections_come_up_late, args=(0.6,), daemon=True).start()
        time.sleep(0.1)
        taken.update(Clump(sender, record, dest, answered_at + CLUMP_AFTER_S).taken)

    threading.Thread(target=other_traffic, daemon=True).start()
    time.sleep(2)
    threads = []
    for endpoint in endpoints:
        threads.append(threading.Thread(target=steps, args=(endpoint,), daemon=True))
        threads[-1].start()
        time.sleep(STEP_S)
    for thread in threads:
        thread.join(10)
    time.sleep((BUDGET_MS + GRACE_MS) / 1000 + 0.5)
    ended.set()
    record.write("connections to endpoints: %d, of which at most %d came up late" % (
        other.accepted + sum(e.accepted for e in endpoints),
        sum(max(0, e.accepted - 1) for e in endpoints) if trouble else 0))
    lost = []
    for message_id, sent_at in sorted(taken.items()):
        limit = sent_at + (BUDGET_MS + GRACE_MS) / 1000
        runs = [at for e in endpoints for at in e.runs.get(message_id, [])]
        notices = [at for at, _ in agent.notices.get(message_id, [])]
        if not any(at <= limit for at in runs + notices):
            lost.append(message_id)
            record.write("lost: %s was taken on; it ran %d times, and %d notices came for it" % (
                message_id, len(runs), len(notices)))
    record.write("%d messages were taken on for destinations 0 to %d, %d of them are lost" % (
        len(taken), DESTINATIONS - 1, len(lost)))
    return 1 if lost else 0 if len(taken) > DESTINATIONS else 2


run_case(FOLDER, play)
