"""A hedged attempt is held back from a call that it shares. Is its message still delivered or ended?

8 destinations of one endpoint each take the same steps, one after the other:
0 s     `kept-N` is taken on and sent; the endpoint resets the connection 0.75 s after the request has begun.
0.85 s  `twin-N`, for the same destination, is taken on and sent; the endpoint is at its limit: 429, Retry-After: 1.9.
2.8 s   The wait is over, the sender sends both in one call, and the endpoint is slow: it does not answer that call.
3.7 s   For 0.6 s, connections to the endpoint come up late, by 1 s.
4.05 s  The sender starts a hedged attempt for both, in one call on a new connection.
"""
import os
import select
import socket
import struct
import sys
import threading

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standins  # noqa: E402
from standins import Agent, Endpoint, Sender, answer, now, run_case, submit  # noqa: E402
import time  # noqa: E402

DESTINATIONS = 8
STEP_S = 1.5
BUDGET_MS = 12000
# 300 ms by the rule, and 50 ms that every time limit is longer on sockets.
GRACE_MS = 350
SLOW_S = 18
RESET_AFTER_S = 0.75
WAIT_S = 1.9
LATE_FROM_S = 3.7
LATE_FOR_S = 0.6
# The windows and deadlines that the bench gives a sender on a `brink` day of this site.
ORDER_WINDOW_MS = 4800
PAYMENT_WINDOW_MS = 3750
GIVE_UP_MS = 12000


class TroubledEndpoint(Endpoint):
    """Answers all calls but those that its script names, and can let connections come up late."""

    def __init__(self, record, name, dest, kind):
        self.script = []
        self.held = False
        self.accepted = 0
        super().__init__(record, name, dest, kind=kind)

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
        ids = headers.get("x-call-id") or " ".join(
            x.split(b" ")[0].decode() for x in body.split(b"\r\n") if x.count(b" ") == 2)
        with self.lock:
            does = self.script.pop(0) if self.script else "answer"
        self.record.write("call at %s with %s: %s" % (self.name, ids, does))
        if does == "reset":
            time.sleep(RESET_AFTER_S)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            raise EOFError
        if does == "wait":
            sock.sendall(answer("429 Too Many Requests", headers=["Retry-After: %.1f" % WAIT_S]))
            return
        if does == "slow":
            sock.settimeout(SLOW_S)
            try:
                sock.recv(1, socket.MSG_PEEK)
            except TimeoutError:
                sock.settimeout(None)
            else:
                # The sender has ended its sending or the connection: it gives up the call, and the endpoint stops.
                self.record.write("the sender gave up the call with %s; it has not run" % ids)
                raise EOFError
        super().handle(sock, line, headers, body)


class ClosingEndpoint(Endpoint):
    """Closes each connection after its answer."""

    accepted = 0

    def handle(self, sock, line, headers, body):
        self.accepted += 1
        time.sleep(self.work_ms / 1000)
        self.ran(headers["x-call-id"], body)
        sock.sendall(answer("200 OK", headers=["Connection: close"]))
        raise EOFError


def play(record, trouble):
    standins.CLASSES[0].update(window_ms=ORDER_WINDOW_MS, give_up_ms=GIVE_UP_MS)
    standins.CLASSES[1].update(window_ms=PAYMENT_WINDOW_MS, give_up_ms=GIVE_UP_MS)
    agent = Agent(record)
    endpoints = [TroubledEndpoint(record, "e%d" % i, i, "large-partner") for i in range(DESTINATIONS)]
    other = ClosingEndpoint(record, "e99", 99, kind="mid-partner")
    agent.instances = [e.entry() for e in endpoints + [other]]
    sender = Sender(agent, kinds=("large-partner", "mid-partner", "small-partner"), batch=(5, 1, 1))
    if not sender.start():
        record.write("the sender did not get ready: " + sender.log())
        return 2
    taken = {}
    ended = threading.Event()

    def other_traffic():
        """About 12 messages a second for another destination."""
        n = 0
        while not ended.is_set():
            submit(sender, record, "other-%d" % n, "order-notice", 99, b"{}", GIVE_UP_MS)
            n += 1
            time.sleep(0.08)

    def hand_in(message_id, dest):
        status, sent_at = submit(sender, record, message_id, "order-notice", dest, b"{}", BUDGET_MS)
        if status in (200, 202):
            taken[message_id] = sent_at

    def steps(endpoint):
        hand_in("first-%d" % endpoint.dest, endpoint.dest)
        time.sleep(0.5)
        endpoint.script = ["reset", "wait", "slow"] if trouble else []
        start = now()
        hand_in("kept-%d" % endpoint.dest, endpoint.dest)
        time.sleep(start + RESET_AFTER_S + 0.1 - now())
        hand_in("twin-%d" % endpoint.dest, endpoint.dest)
        time.sleep(start + LATE_FROM_S - now())
        if trouble:
            endpoint.connections_come_up_late(LATE_FOR_S)

    threading.Thread(target=other_traffic, daemon=True).start()
    time.sleep(3)
    threads = []
    for endpoint in endpoints:
        threads.append(threading.Thread(target=steps, args=(endpoint,), daemon=True))
        threads[-1].start()
        time.sleep(STEP_S)
    for thread in threads:
        thread.join(10)
    time.sleep((BUDGET_MS + GRACE_MS) / 1000 + 0.5)
    ended.set()
    record.write("connections to endpoints: %d, of which %d to the endpoints where some came up late" % (
        other.accepted + sum(e.accepted for e in endpoints), sum(e.accepted for e in endpoints)))
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
    return 1 if lost else 0 if len(taken) == 3 * DESTINATIONS else 2


run_case(os.path.join(FOLDER, "record.txt"), play)
