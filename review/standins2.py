"""Stand-ins for the second review's cases: clients, endpoints and the platform's agent, and the start of a sender.

Everything runs in one asyncio loop, on loopback addresses and the real clock. The stand-ins follow the protocol page;
a case changes what they do within what the pages allow.
"""
import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not run; its exit code is 2."""


class Record:
    """Lines with the time since the start of the case, written to the file that the case names."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, *words):
        line = "%8.3f  %s" % (self.now(), " ".join(str(w) for w in words))
        self.file.write(line + "\n")
        self.file.flush()


def free_port():
    """A free port below those that the system gives to outgoing connections, so that none of them takes it meanwhile."""
    while True:
        port = random.SystemRandom().randrange(12000, 32000)
        with socket.socket() as s:
            s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                s.bind(("127.0.0.1", port))
                return port
            except OSError:
                pass


async def read_head(reader):
    """Reads a head; returns its first line and its headers (names in lower case), or None at the end of input."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


def response(status, body=b"", **headers):
    lines = ["HTTP/1.1 %d Status" % status, "Content-Length: %d" % len(body)]
    lines += ["%s: %s" % (name.replace("_", "-"), value) for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Agent:
    """Discovery's agent on the sender's machine, which also takes the notices."""

    def __init__(self, record, instances):
        self.record = record
        self.port = free_port()
        self.generation = 1
        self.instances = {i["instanceId"]: i for i in instances}
        self.changes = []
        self.changed = asyncio.Condition()
        self.notices = {}
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    async def change(self, instance):
        """Tells a change of one instance."""
        async with self.changed:
            self.generation += 1
            if instance["lifecycle"] == "DELETED":
                self.instances.pop(instance["instanceId"], None)
            else:
                self.instances[instance["instanceId"]] = instance
            self.changes.append((self.generation, instance))
            self.record("list: generation", self.generation, instance["instanceId"], instance["lifecycle"])
            self.changed.notify_all()

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                first, headers = head
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                writer.write(await self.answer(first.split()[1], body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # Cancelled at the end of the case.
            pass
        finally:
            writer.close()

    async def answer(self, path, body):
        if path == "/reports":
            for line in body.decode().splitlines():
                notice = json.loads(line)
                self.notices.setdefault(notice["ref"], (self.record.now(), notice["result"]))
                self.record("notice", line)
            return response(204)
        watch = re.match(r"/v1/servers\?after=(\d+)&wait_ms=(\d+)$", path)
        if not watch:
            return self.list_response(self.generation, True, list(self.instances.values()))
        after, wait_ms = int(watch[1]), int(watch[2])
        async with self.changed:
            try:
                await asyncio.wait_for(self.changed.wait_for(lambda: self.generation > after), wait_ms / 1000)
            except asyncio.TimeoutError:
                pass
            entries = [e for g, e in self.changes if g > after]
            return self.list_response(self.generation, False, entries)

    @staticmethod
    def list_response(generation, reset, entries):
        return response(200, json.dumps({"generation": generation, "reset": reset, "instances": entries}).encode())


class Endpoint:
    """A sound endpoint: it runs each message after some time and answers 200, unless the case says otherwise."""

    def __init__(self, record, name, dest, work_ms=40, kind="mid-partner", weight=20.0):
        self.record = record
        self.name = name
        self.dest = dest
        self.work_ms = work_ms
        self.port = free_port()
        self.kind = kind
        self.weight = weight
        self.server = None
        self.writers = set()
        self.ran = {}
        self.calls = 0

    def instance(self, lifecycle="SERVING"):
        return {"instanceId": self.name, "hostPort": "127.0.0.1:%d" % self.port, "zone": "room-a",
                "machineType": self.kind, "cell": self.dest, "lifecycle": lifecycle, "weight": self.weight,
                "startedAtMs": 0}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, limit=1 << 18)

    async def crash(self):
        """The process dies: its connections are reset and new ones are refused."""
        self.record("endpoint", self.name, "dies")
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                first, headers = head
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                if await self.call(first.split()[1], headers, body, writer) is False:
                    return
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    @staticmethod
    def batch_ids(body):
        ids = []
        at = 0
        while at < len(body):
            end = body.index(b"\r\n", at)
            message_id, _, length = body[at:end].decode().split(" ")
            ids.append(message_id)
            at = end + 2 + int(length) + 2
        return ids

    def run(self, ids):
        for message_id in ids:
            self.ran.setdefault(message_id, []).append(self.record.now())
            self.record("run", self.name, message_id)

    async def call(self, path, headers, body, writer):
        """Carries out one call; False ends the connection."""
        self.calls += 1
        if path == "/v1/messages:batch":
            ids = self.batch_ids(body)
            answer = response(200, "".join(i + " accepted\r\n" for i in ids).encode())
        elif path == "/v1/messages":
            ids = [headers["x-call-id"]]
            answer = response(200)
        else:
            writer.write(response(404))
            return True
        await asyncio.sleep(self.work_ms / 1000)
        self.run(ids)
        writer.write(answer)
        await writer.drain()
        return True


async def hand_in(record, port, message_id, message_class, dest, budget_ms, key=None, body=b"hello", wait_s=0.4):
    """Hands in one message on a connection of its own, as a client does; returns the status, or None without one."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        record("hand in", message_id, "no connection")
        return None
    try:
        lines = ["POST /%s HTTP/1.1" % message_class, "Host: app.svc", "X-Call-Id: " + message_id,
                 "X-Call-Class: " + message_class, "X-Budget-Ms: %d" % budget_ms]
        if key:
            lines.append("Idempotency-Key: " + key)
        lines += ["Content-Length: %d" % len(body), "X-Envelope: dest=%d" % dest]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        head = await asyncio.wait_for(read_head(reader), wait_s)
        status = int(head[0].split()[1]) if head else None
    except (asyncio.TimeoutError, ConnectionError):
        status = None
    finally:
        writer.close()
    record("handed in", message_id, message_class, "dest=%d" % dest, "budget=%d" % budget_ms, "answer", status)
    return status


def settings(**changes):
    """Settings of a small deployment, with the figures of the operators' site."""
    value = {
        "classes": [
            {"name": "order-notice", "aim_ms": 2500, "give_up_ms": 20000, "late_worth": 0.3, "worth": 1,
             "repeat": "keyed", "window_ms": 8000, "dedup_scope": "all", "streaming": False},
            {"name": "payment-charge", "aim_ms": 3000, "give_up_ms": 16000, "late_worth": 0.3, "worth": 2,
             "repeat": "unsafe", "streaming": False}],
        "tenants": [], "flavors": ["large-partner", "mid-partner", "small-partner"], "zones": ["room-a", "room-b"],
        "fleet_size": 2, "weight_kind": "rough", "registry_mode": "push", "my_zone": 0, "me": 0,
        "family_info": {"workers": 24, "batch_by_kind": [5, 1, 1], "separate_routes": [False, False, False],
                        "decay": "line", "carriage": [0.0, 0.0]},
        "reporting": {"how": "answers", "fields": ["x0", "x1"]},
        "limits": {"most_tries": 12, "max_open": 383, "dial_timeout_ms": 1500, "keepalive_ms": 15000,
                   "second_copies": True, "cancel": True, "probes": True, "retry_after": True,
                   "max_retry_after_ms": 2000},
        "rules": {"start_capacity": 0.2, "warm_after_ms": 12000, "fall_multiple": 2, "fall_ms": 3000,
                  "drain_grace_ms": 1000, "must_ask_in_ms": 10000, "grace_to_answer_ms": 20}}
    value.update(changes)
    return value


class Sender:
    """One real sender, started by the run line of the deploy file."""

    def __init__(self, record, folder, agent_port, known, sender_settings=None):
        self.record = record
        self.folder = folder
        self.state = os.path.join(folder, "state")
        os.makedirs(self.state, exist_ok=True)
        self.config = os.path.join(folder, "config.json")
        self.port = free_port()
        self.agent_port = agent_port
        self.known = known
        self.settings = sender_settings or settings()
        self.process = None
        self.starts = 0
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as f:
            self.command = tomllib.load(f)["run"]

    def write_config(self):
        value = {"name": "n1", "listen": "127.0.0.1:%d" % self.port, "discovery": "127.0.0.1:%d" % self.agent_port,
                 "seed": "%x" % (self.starts + 7),
                 "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
                 "known": {"generation": 1, "reset": True, "instances": self.known}, "settings": self.settings}
        with open(self.config + ".new", "w", encoding="utf-8") as f:
            json.dump(value, f)
        os.replace(self.config + ".new", self.config)

    async def start(self):
        """Starts a process, without waiting until it is ready."""
        self.starts += 1
        self.write_config()
        env = dict(os.environ, GW_NAME="n1", GW_LISTEN="127.0.0.1:%d" % self.port,
                   GW_DISCOVERY="127.0.0.1:%d" % self.agent_port, GW_STATE=self.state, GW_CONFIG=self.config)
        log = open(os.path.join(self.folder, "sender.log"), "ab")
        self.process = await asyncio.create_subprocess_exec("/bin/sh", "-c", self.command, cwd=ROOT, env=env,
                                                            stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL)
        log.close()
        self.record("sender started, pid", self.process.pid)

    async def ready(self, within_s=30):
        end = time.monotonic() + within_s
        while time.monotonic() < end:
            if self.process.returncode is not None:
                return False
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /healthz HTTP/1.1\r\nHost: app.svc\r\n\r\n")
                head = await asyncio.wait_for(read_head(reader), 1)
                writer.close()
                if head and head[0].split()[1] == "200":
                    self.record("sender is ready")
                    return True
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        return False

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.record("signal", signal.Signals(number).name)
            self.process.send_signal(number)

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def log_text(self):
        with open(os.path.join(self.folder, "sender.log"), encoding="utf-8", errors="replace") as f:
            return f.read()


def stopped(number, frame):
    raise CannotRun("ended by a signal")


def run_case(record_path, play):
    """Runs play(record, folder), which returns the broken rules as texts, and exits as the review asks."""
    signal.signal(signal.SIGTERM, stopped)
    record = Record(record_path)
    folder = tempfile.mkdtemp(prefix="case-")
    code = 2
    try:
        broken = asyncio.run(asyncio.wait_for(play(record, folder), 115))
        for text in broken:
            record("RULE BROKEN:", text)
        record("result:", "broken" if broken else "held", "(with the disruption)" if TROUBLE else "(TROUBLE=0)")
        print("\n".join(broken) if broken else "the rule held")
        code = 1 if broken else 0
    except Exception as e:  # Whatever fails in the case itself is no broken rule.
        record("could not run:", repr(e))
        print("could not run:", repr(e), file=sys.stderr)
    finally:
        log = os.path.join(folder, "sender.log")
        if os.path.exists(log):
            with open(log, encoding="utf-8", errors="replace") as f:
                for line in f:
                    record.file.write("          sender's log: " + line)
        record.file.close()
        shutil.rmtree(folder, ignore_errors=True)
    sys.exit(code)
