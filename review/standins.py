"""Stand-ins for a review case: the platform's agent, endpoints and clients, and a real sender as a process of its own.

Everything listens on 127.0.0.1 at free ports. All stand-ins follow PROTOCOL-thistlecross.md.
"""
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
CLASSES = [
    {"name": "order-notice", "aim_ms": 2500, "give_up_ms": 20000, "late_worth": 0.3, "repeat": "keyed",
     "dedup_scope": "all", "window_ms": 8000, "worth": 1, "streaming": False},
    {"name": "payment-charge", "aim_ms": 3000, "give_up_ms": 16000, "late_worth": 0.3, "repeat": "unsafe",
     "dedup_scope": "all", "window_ms": 5000, "worth": 2, "streaming": False},
]


SENDERS = []


def now():
    return time.monotonic()


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


class Record:
    """The lines of record.txt: seconds since the start, what happened, and to which message."""

    def __init__(self, path):
        self.file = open(path, "a")
        self.start = now()
        self.lock = threading.Lock()

    def write(self, text):
        with self.lock:
            self.file.write("%8.3f %s\n" % (now() - self.start, text))
            self.file.flush()


class Reader:
    """Reads HTTP messages from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def fill(self):
        data = self.sock.recv(65536)
        if not data:
            raise EOFError
        self.buffer += data

    def message(self):
        """Returns the first line, the headers (lower-case names) and the body of the next message."""
        while b"\r\n\r\n" not in self.buffer:
            self.fill()
        head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", "0"))
        while len(self.buffer) < length:
            self.fill()
        body, self.buffer = self.buffer[:length], self.buffer[length:]
        return lines[0], headers, body


def answer(status, body=b"", headers=()):
    lines = ["HTTP/1.1 " + status, "Content-Length: %d" % len(body)] + list(headers)
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """An HTTP/1.1 server with a thread for each connection."""

    def __init__(self):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(512)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock):
        reader = Reader(sock)
        try:
            while True:
                line, headers, body = reader.message()
                self.handle(sock, line, headers, body)
        except (EOFError, OSError):
            pass
        finally:
            sock.close()

    def handle(self, sock, line, headers, body):
        raise NotImplementedError


class Agent(Server):
    """The platform's agent: the list of endpoints, its watch, and the notices."""

    def __init__(self, record):
        self.record = record
        self.generation = 1
        self.instances = []
        self.changed = threading.Condition()
        self.notices = {}
        super().__init__()

    def handle(self, sock, line, headers, body):
        method, target, _ = line.split(" ")
        if method == "POST" and target == "/reports":
            for text in body.decode().splitlines():
                notice = json.loads(text)
                self.notices.setdefault(notice["ref"], []).append((now(), notice["result"]))
                self.record.write("notice %s %s" % (notice["ref"], notice["result"]))
            sock.sendall(answer("204 No Content"))
            return
        query = dict(p.split("=") for p in target.partition("?")[2].split("&") if p)
        with self.changed:
            if "after" in query:
                self.changed.wait_for(lambda: self.generation > int(query["after"]),
                                      int(query.get("wait_ms", "0")) / 1000)
                full = False
                entries = self.instances if self.generation > int(query["after"]) else []
            else:
                full = True
                entries = self.instances
            text = json.dumps({"generation": self.generation, "reset": full, "instances": entries})
        sock.sendall(answer("200 OK", text.encode()))


class Endpoint(Server):
    """An endpoint of one destination. Takes `work_ms` for a call and answers 200."""

    def __init__(self, record, name, dest, work_ms=200, kind="mid-partner"):
        self.record = record
        self.name = name
        self.dest = dest
        self.work_ms = work_ms
        self.kind = kind
        self.runs = {}
        self.bodies = {}
        self.lock = threading.Lock()
        super().__init__()

    def entry(self):
        return {"instanceId": self.name, "hostPort": "127.0.0.1:%d" % self.port, "zone": "room-a",
                "machineType": self.kind, "cell": self.dest, "lifecycle": "SERVING", "weight": 40.0, "startedAtMs": 0}

    def ran(self, message_id, body):
        with self.lock:
            self.runs.setdefault(message_id, []).append(now())
            self.bodies[message_id] = body
        self.record.write("run %s at %s, body of %d bytes" % (message_id, self.name, len(body)))

    def handle(self, sock, line, headers, body):
        if line.startswith("GET "):
            sock.sendall(answer("404 Not Found"))
            return
        time.sleep(self.work_ms / 1000)
        if ":batch" in line:
            results = b""
            while body:
                head, body = body.split(b"\r\n", 1)
                message_id, _, length = head.decode("latin-1").split(" ")
                self.ran(message_id, body[:int(length)])
                body = body[int(length) + 2:]
                results += message_id.encode("latin-1") + b" accepted\r\n"
            sock.sendall(answer("200 OK", results))
            return
        self.ran(headers["x-call-id"], body)
        sock.sendall(answer("200 OK"))


class Sender:
    """One real sender, started by the `run` line of deploy/balancer.toml."""

    def __init__(self, agent, sockets=1024, memory_mb=192, disk_mb=3, kinds=("mid-partner",), batch=(1,), max_open=383,
                 slots=24, known=()):
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.state = os.path.join(self.folder, "state")
        os.mkdir(self.state)
        self.port = free_port()
        self.agent = agent
        self.ops_port = free_port()
        self.log_path = os.path.join(self.folder, "log")
        self.config = os.path.join(self.folder, "config.json")
        settings = {
            "classes": CLASSES, "tenants": [], "flavors": list(kinds), "zones": ["room-a", "room-b"], "my_zone": 0,
            "fleet_size": 2, "me": 0, "registry_mode": "push", "weight_kind": "rough",
            "family_info": {"workers": slots, "batch_by_kind": list(batch), "separate_routes": [False] * len(kinds),
                            "decay": "line", "report_x0": "share_of_the_allowance_that_is_left",
                            "report_x1": "calls_a_second_that_the_limit_allows;_0_where_there_is_none"},
            "limits": {"cancel": True, "second_copies": True, "most_tries": 12, "max_open": max_open,
                       "dial_timeout_ms": 1500, "keepalive_ms": 15000, "max_streams": 8, "probes": True,
                       "retry_after": True, "max_retry_after_ms": 2000, "peers": False},
            "reporting": {"fields": ["x0", "x1"], "how": "answers"},
            "rules": {"drain_grace_ms": 1000, "fall_ms": 3000, "fall_multiple": 2, "grace_to_answer_ms": 20,
                      "start_capacity": 0.2, "warm_after_ms": 12000, "must_ask_in_ms": 10000},
            "round_ms": 5,
        }
        known = {"generation": 1, "reset": True, "instances": agent.instances if not known else list(known)}
        with open(self.config, "w") as f:
            json.dump({"name": "n1", "listen": "127.0.0.1:%d" % self.port, "discovery": "127.0.0.1:%d" % agent.port,
                       "ops": "127.0.0.1:%d" % self.ops_port, "seed": "8c1f30d27a5be964",
                       "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets, "disk_mb": disk_mb},
                       "known": known, "settings": settings}, f)
        self.process = None
        SENDERS.append(self)

    def start(self):
        with open(os.path.join(ROOT, "deploy", "balancer.toml")) as f:
            run = [line for line in f if line.startswith("run = ")][0].split("=", 1)[1].strip().strip('"')
        environment = dict(os.environ, GW_NAME="n1", GW_LISTEN="127.0.0.1:%d" % self.port,
                           GW_DISCOVERY="127.0.0.1:%d" % self.agent.port, GW_STATE=self.state, GW_CONFIG=self.config)
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=log, stderr=log)
        until = now() + 30
        while now() < until and self.process.poll() is None:
            if self.healthy():
                return True
            time.sleep(0.05)
        return False

    def connect(self, timeout=5):
        sock = socket.create_connection(("127.0.0.1", self.port), timeout)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock

    def healthy(self, timeout=1):
        try:
            with self.connect(timeout) as sock:
                sock.sendall(b"GET /healthz HTTP/1.1\r\nHost: app.svc\r\n\r\n")
                return Reader(sock).message()[0].split(" ")[1] == "200"
        except (OSError, EOFError):
            return False

    def signal(self, number):
        self.process.send_signal(number)

    def log(self):
        with open(self.log_path, errors="replace") as f:
            return f.read()

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def request(message_id, message_class, dest, body, budget_ms=None, extra=()):
    """A message in the form of the protocol page."""
    if budget_ms is None:
        budget_ms = 20000 if message_class == "order-notice" else 16000
    lines = ["POST /%s HTTP/1.1" % message_class, "Host: app.svc", "X-Call-Id: " + message_id,
             "X-Call-Class: " + message_class, "X-Budget-Ms: %d" % budget_ms]
    if message_class == "order-notice":
        lines.append("Idempotency-Key: k" + message_id)
    lines += ["Content-Length: %d" % len(body), "X-Envelope: dest=%d" % dest] + list(extra)
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def submit(sender, record, message_id, message_class, dest, body, budget_ms=None, wait_s=0.4):
    """Hands in one message on a connection of its own; returns the status, or None without an answer in time."""
    status = None
    sent_at = now()
    try:
        with sender.connect(wait_s) as sock:
            sock.settimeout(wait_s)
            sock.sendall(request(message_id, message_class, dest, body, budget_ms))
            sent_at = now()
            status = int(Reader(sock).message()[0].split(" ")[1])
    except (OSError, EOFError):
        pass
    record.write("sent %s, class %s, dest %d, budget %s ms; answered %s" % (
        message_id, message_class, dest, budget_ms, status))
    return status, sent_at


def run_case(record_file, play):
    """
    Runs a case: play(record, trouble) returns 1 if the rule was broken, 0 if it held, 2 if it couldn't run. What was
    sent, answered and run is written to the record file.
    """
    record = Record(record_file)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    result = 2

    def stopped(*_):
        raise SystemExit(2)

    signal.signal(signal.SIGTERM, stopped)
    signal.signal(signal.SIGINT, stopped)
    try:
        result = play(record, trouble)
    except Exception as e:
        record.write("the case couldn't run: %r" % e)
    finally:
        for sender in SENDERS:
            sender.end()
    verdict = {0: "the rule held", 1: "the rule was broken", 2: "the case couldn't run"}[result]
    record.write("%s (disruption: %s)" % (verdict, "on" if trouble else "off"))
    print(verdict)
    os._exit(result)
