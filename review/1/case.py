"""300 bad clients stop in the middle of a body. Are the messages that were taken on before still ended in time?"""
import os
import sys
import threading

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins import Agent, Endpoint, Sender, answer, now, request, run_case, submit  # noqa: E402
import time  # noqa: E402

BAD_CLIENTS = 300
BODY_BYTES = 65536
SENT_BODY_BYTES = 60000
MESSAGES = 20
BUDGET_MS = 4000
# 300 ms by the rule, and 50 ms that every time limit is longer on sockets.
GRACE_MS = 350


class LimitedEndpoint(Endpoint):
    """Answers the first call with 429 and a wait of 0.9 s, as a destination at its limit does; then takes all calls."""

    told = False

    def handle(self, sock, line, headers, body):
        with self.lock:
            first, self.told = not self.told, True
        if first:
            self.record.write("429 with Retry-After: 0.9 at " + self.name)
            sock.sendall(answer("429 Too Many Requests", headers=["Retry-After: 0.9"]))
        else:
            super().handle(sock, line, headers, body)


def bad_clients(sender, record):
    """Each sends a whole head and most of the body at once, stops, and stays until the sender ends the connection."""
    head_and_part = request("bad", "order-notice", 7, b"x" * BODY_BYTES)[:-(BODY_BYTES - SENT_BODY_BYTES)]
    sockets = []
    for _ in range(BAD_CLIENTS):
        try:
            sock = sender.connect(2)
            sock.setblocking(False)
            sockets.append((sock, now(), sock.send(head_and_part)))
        except OSError as e:
            record.write("a bad client could not send: %r" % e)
    record.write("%d bad clients connected; each has sent up to %d bytes, of a body of %d bytes" % (
        len(sockets), max(n for _, _, n in sockets), BODY_BYTES))
    return sockets


def play(record, trouble):
    agent = Agent(record)
    endpoints = [Endpoint(record, "e7", 7), LimitedEndpoint(record, "e8", 8)]
    agent.instances = [e.entry() for e in endpoints]
    sender = Sender(agent)
    if not sender.start():
        record.write("the sender did not get ready: " + sender.log())
        return 2
    taken = {}
    for i in range(MESSAGES):
        message_class = "payment-charge" if i % 2 else "order-notice"
        message_id = "%s-%d" % (message_class, i)
        status, sent_at = submit(sender, record, message_id, message_class, 8, b"{}", BUDGET_MS)
        if status in (200, 202):
            taken[message_id] = sent_at
    if not taken:
        return 2
    sockets = bad_clients(sender, record) if trouble else []
    answered = []

    def ask():
        asked_at = now()
        ok = sender.healthy(60)
        answered.append("GET /healthz: %s after %.1f s" % (ok, now() - asked_at))
        record.write(answered[-1])

    time.sleep(0.3)
    threading.Thread(target=ask, daemon=True).start()
    until = max(taken.values()) + (BUDGET_MS + GRACE_MS) / 1000
    time.sleep(max(0, until - now()))
    lost = []
    for message_id, sent_at in sorted(taken.items()):
        limit = sent_at + (BUDGET_MS + GRACE_MS) / 1000
        ends = endpoints[1].runs.get(message_id, []) + [at for at, _ in agent.notices.get(message_id, [])]
        if not any(at <= limit for at in ends):
            lost.append(message_id)
    for message_id in lost:
        record.write("lost: %s was taken on and, %d ms after its time was up, neither delivered nor ended by a notice"
                     % (message_id, GRACE_MS))
    record.write("%d messages were taken on, %d of them are lost" % (len(taken), len(lost)))
    # For the record only: how long it goes on.
    watch_until = now() + (30 if trouble else 1)
    while now() < watch_until and not answered:
        time.sleep(0.1)
    if not answered:
        record.write("GET /healthz: no answer yet")
    log = sender.log()
    record.write("the sender %s; its log has %d lines with OutOfMemoryError" % (
        "runs" if sender.process.poll() is None else "has exited", log.count("OutOfMemoryError")))
    for line in [x for x in log.splitlines() if "OutOfMemoryError" in x][:2]:
        record.write("log: " + line)
    for sock, _, _ in sockets:
        sock.close()
    return 1 if lost else 0


run_case(os.path.join(FOLDER, "record.txt"), play)
