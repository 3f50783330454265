"""A peer sends a request with a body over 64 KiB. Does a part of that body reach an endpoint as a message?"""
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins import Agent, Endpoint, Sender, now, request, run_case, submit  # noqa: E402
import time  # noqa: E402

LIMIT_BYTES = 65536


def talk(sender, record, data):
    """Sends all bytes at once and reads until the sender ends the connection or 3 s have passed."""
    received = b""
    with sender.connect(3) as sock:
        try:
            sock.sendall(data)
            until = now() + 3
            while now() < until:
                sock.settimeout(max(0.01, until - now()))
                part = sock.recv(65536)
                if not part:
                    break
                received += part
        except OSError as e:
            record.write("connection: %r" % e)
    for line in received.decode("latin-1").split("\r\n"):
        if line.startswith("HTTP/1.1 "):
            record.write("answered " + line)


def play(record, trouble):
    agent = Agent(record)
    endpoint = Endpoint(record, "e7", 7)
    agent.instances = [endpoint.entry()]
    sender = Sender(agent)
    if not sender.start():
        record.write("the sender did not get ready: " + sender.log())
        return 2
    # What the bodies hold: bytes that look like a request. "A body may hold any bytes."
    text = request("in-a-body", "payment-charge", 7, b"{\"charge\": 100}")
    # A proper request with such a body, as small as a body has to be: one message, delivered with its body unchanged.
    status, _ = submit(sender, record, "proper", "order-notice", 7, text, 20000)
    sent = {"proper"}
    if trouble:
        # Not a proper request: a body of 70,000 bytes. Its first bytes are the same text.
        body = text + b"x" * (LIMIT_BYTES + 4464 - len(text))
        record.write("sent too-long, class order-notice, dest 7, body of %d bytes, Expect: 100-continue" % len(body))
        talk(sender, record, request("too-long", "order-notice", 7, body, extra=["Expect: 100-continue"]))
        sent.add("too-long")
    time.sleep(2)
    if status not in (200, 202) or endpoint.bodies.get("proper") != text:
        record.write("the proper message was not taken on or not delivered")
        return 2
    foreign = sorted(set(endpoint.runs) - sent)
    for message_id in foreign:
        record.write("%s ran at an endpoint with the body %r; no client sent it as a request of its own" % (
            message_id, endpoint.bodies[message_id]))
    return 1 if foreign else 0


run_case(os.path.join(FOLDER, "record.txt"), play)
