"""A partner has two endpoints. One leaves the list; over a minute later the partner refuses connections for some time."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins2 import TROUBLE, Agent, CannotRun, Endpoint, Sender, hand_in, run_case  # noqa: E402

QUIET_S = 64
OUTAGE_S = 10
BUDGET_MS = 16000
# Lost: no end 300 ms after its time is up; every time limit is 50 ms longer on sockets.
GRACE_S = 0.35


async def play(record, folder):
    staying = Endpoint(record, "s-staying", 7, kind="large-partner")
    leaving = Endpoint(record, "s-leaving", 7, kind="large-partner")
    other = Endpoint(record, "s-other", 8, kind="large-partner")
    agent = Agent(record, [e.instance() for e in (staying, leaving, other)])
    for part in (staying, leaving, other, agent):
        await part.start()
    sender = Sender(record, folder, agent.port, [e.instance() for e in (staying, leaving, other)])
    taken = {}
    handing_in = []

    async def client(message_id, message_class, dest):
        at = record.now()
        key = "k" + message_id if message_class == "order-notice" else None
        if await hand_in(record, sender.port, message_id, message_class, dest, BUDGET_MS, key) in (200, 202):
            taken[message_id] = at + BUDGET_MS / 1000

    async def traffic(name, seconds, gap_s):
        end = record.now() + seconds
        number = 0
        while record.now() < end:
            number += 1
            message_class = ("order-notice", "payment-charge")[number % 2]
            handing_in.append(asyncio.create_task(client("%s-%d" % (name, number), message_class, 7 + number // 2 % 2)))
            await asyncio.sleep(gap_s)

    try:
        await sender.start()
        if not await sender.ready():
            raise CannotRun("the sender did not get ready")
        await traffic("early", 2, 0.1)
        # The directory: one endpoint of the partner drains, and goes.
        await agent.change(leaving.instance("DRAINING"))
        await traffic("drain", 2, 0.1)
        await agent.change(leaving.instance("DELETED"))
        await traffic("quiet", QUIET_S, 1)
        if TROUBLE:
            await staying.crash()
        await traffic("outage", OUTAGE_S, 0.2)
        if TROUBLE:
            await staying.start()
            record("endpoint s-staying is back")
        await asyncio.sleep(BUDGET_MS / 1000 + 2)
        await asyncio.gather(*handing_in)
    finally:
        await sender.end()
    if len(taken) < 20:
        raise CannotRun("the sender took on only %d messages" % len(taken))
    broken = []
    ran = [e.ran for e in (staying, leaving, other)]
    for message_id, time_up in sorted(taken.items()):
        notice = agent.notices.get(message_id)
        if not any(message_id in r for r in ran) and (notice is None or notice[0] > time_up + GRACE_S):
            broken.append("lost: %s was taken on and had no end %.2f s after its time was up (%.3f)"
                          % (message_id, GRACE_S, time_up))
    record("taken on", len(taken), "delivered", len([m for m in taken if any(m in r for r in ran)]),
           "ended by a notice", len([m for m in taken if m in agent.notices]))
    return broken


run_case(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"), play)
