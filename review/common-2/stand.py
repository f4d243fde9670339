"""Stand-ins for the second review: clients, upstreams, discovery and the platform, all on loopback, real clock.

A case is a coroutine case(run). It starts what it needs through Run, judges what clients, servers and the platform
see, and calls run.broken(...) for each break of the rule. main() turns that into the exit status: 1 broken, 0 held, 2
could not run. record.txt beside the case's run.sh says what was sent, answered and run.
"""
import asyncio
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 115
SEED = "5f3a9c1be7d20486"  # of the balancers' configurations, fixed so that plays are alike


class CannotRun(Exception):
    """The case could not run; this says nothing about the rule."""


def request_class(name, effect, aim_ms, deadline_ms, **more):
    entry = {
        "Name": name, "Idempotency": effect, "DedupScope": "all", "KeyTtl": 5_000_000, "GoalTime": aim_ms * 1000,
        "GiveUp": deadline_ms * 1000, "Gain": 1.0, "LateShare": 0.0, "Stream": False,
    }
    entry.update(more)
    return entry


SEAT_LOOKUP = request_class("seat-lookup", "safe", 600, 1000)
BOOK_SEAT = request_class("book-seat", "unsafe", 800, 3000, Gain=2.0)


def settings(classes, balancers=1, zones=("howrah",), limits=(), rules=()):
    """The settings of a small deployment, in the names of the wire page."""
    return {
        "Areas": list(zones), "Balancers": balancers, "Rank": 0, "Locality": 0, "Quantum": 5000,
        "Kinds": ["full-box", "slow-box"], "Classes": classes, "MembershipMode": "ask", "Tier": 0,
        "Tiers": ["seat-servers"], "OverShareWorth": 0.1, "WeightKind": "none", "Workload": "proxy",
        "WorthBy": "request", "Stats": {"How": "none", "Fields": []},
        "Blend": {"Whole": 0.35, "WorstClass": 0.4, "WorstTenant": 0.1, "WorstWindow": 0.15},
        "Realms": [{"Name": "acme", "AllowancePerS": 1000.0, "Portion": 1.0}],
        "Prices": {"CrossZone": 0.01, "Handshake": 0.02, "Probe": 0.01, "Waste": 0.041, "LateFail": 0.041},
        "Limits": {
            "Cancel": True, "CpuUsPerRequest": 0.0, "CpuUsPerS": 400000, "DialTimeout": 100000,
            "IdleClose": 60000000, "MaxOpen": 20000, "MaxRetryAfter": 1500000, "MayDuplicate": False,
            "PeerMessages": False, "Probes": True, "RetryAfter": False, "StreamsPerConn": 1, "TryLimit": 5,
            **dict(limits)},
        "Rules": {
            "AnswerSlack": 20000, "AskWithin": 10000000, "ColdFrom": 0.3, "DrainGrace": 1500000, "Fall": 2000000,
            "OverloadFactor": 3.0, "RampTime": 8600000, **dict(rules)},
    }


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def reset_on_close(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


# ---- the platform


class Balancer:
    """One process, started by the run line of the deploy file."""

    def __init__(self, run, name, process, log_path, admin_port):
        self.run, self.name, self.process, self.log_path, self.admin_port = run, name, process, log_path, admin_port
        self.port = None

    def log(self):
        with open(self.log_path, errors="replace") as lines:
            return lines.read()

    def alive(self):
        return self.process.poll() is None

    def signal(self, number):
        self.run.say(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def ended(self, timeout_s):
        until = time.monotonic() + timeout_s
        while self.alive() and time.monotonic() < until:
            await asyncio.sleep(0.005)
        return not self.alive()

    async def operate(self, line):
        """One operators' call; returns its answer."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.admin_port)
        try:
            writer.write(line.encode() + b"\n")
            answer = (await asyncio.wait_for(reader.readline(), 3)).decode().strip()
        finally:
            writer.close()
        self.run.say(f"{self.name}: operators' call '{line}': {answer}")
        return answer

    async def says_yes(self, timeout_s):
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            try:
                if (await self.operate("check")).startswith("ACK"):
                    return True
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        return False


class Run:
    def __init__(self, folder):
        self.folder = folder
        self.temp = tempfile.mkdtemp(prefix="case-")
        self.record = open(os.path.join(folder, "record.txt"), "w", buffering=1)
        self.started = time.monotonic()
        self.processes = []
        self.breaks = []
        self.ids = 0
        self.environment = {}  # further variables of the processes that are started
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
            self.run_line = tomllib.load(file)["run"]
        self.say(f"trouble: {'yes' if TROUBLE else 'no'}")

    def now(self):
        return time.monotonic() - self.started

    def say(self, text):
        self.record.write(f"{self.now():9.4f} {text}\n")

    def broken(self, text):
        self.breaks.append(text)
        self.say("BROKEN: " + text)

    def fresh_id(self):
        self.ids += 1
        return f"{os.getpid() & 0xffff:04x}{self.ids:012x}"

    def write_config(self, name, config_settings, discovery, limits=(("cores", 1.0), ("memory_mb", 192), ("sockets", 1024)),
                     known=None):
        path = os.path.join(self.temp, name + ".json")
        fields = {
            "name": name, "listen": "127.0.0.1:0", "discovery": f"127.0.0.1:{discovery.port}",
            "seed": SEED, "limits": dict(limits),
            "known": discovery.whole() if known is None else known, "settings": config_settings}
        with open(path + ".new", "w") as file:
            json.dump(fields, file)
        os.replace(path + ".new", path)
        return path

    async def start(self, name, config, discovery, tmpdir=None, listener=None, wait_ready=True):
        """Starts one balancer. With listener (a listening socket) it inherits that as descriptor 0."""
        admin_port = free_port()
        tmpdir = tmpdir or os.path.join(self.temp, "tmp-" + name)
        os.makedirs(tmpdir, exist_ok=True)
        log_path = os.path.join(self.temp, f"{name}-{len(self.processes)}.log")
        environment = {key: value for key, value in os.environ.items() if not key.startswith("ROUTER_")}
        environment.update(
            ROUTER_NAME=name, ROUTER_CONFIG=config, ROUTER_DISCOVERY=f"127.0.0.1:{discovery.port}",
            ROUTER_LISTEN="127.0.0.1:0" if listener is None else "127.0.0.1:%d" % listener.getsockname()[1],
            ROUTER_ADMIN_ADDR=f"127.0.0.1:{admin_port}", TMPDIR=tmpdir)
        environment.update(self.environment)
        if listener is not None:
            environment["ROUTER_INHERITED_FD"] = "0"
        with open(log_path, "wb") as log:
            process = subprocess.Popen(
                ["/bin/sh", "-c", self.run_line], cwd=ROOT, env=environment, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL if listener is None else listener, start_new_session=True)
        balancer = Balancer(self, name, process, log_path, admin_port)
        self.processes.append(balancer)
        self.say(f"{name}: started")
        if listener is not None:
            balancer.port = listener.getsockname()[1]
        until = time.monotonic() + 30
        while balancer.port is None:
            if not balancer.alive() or time.monotonic() > until:
                raise CannotRun(f"{name} does not listen: {balancer.log()[-2000:]}")
            for line in balancer.log().splitlines():
                if "listening on " in line:
                    balancer.port = int(line.rsplit(":", 1)[1].split()[0])
            await asyncio.sleep(0.02)
        if wait_ready and not await self.ready(balancer, 30):
            raise CannotRun(f"{name} is not ready: {balancer.log()[-2000:]}")
        return balancer

    async def ready(self, balancer, timeout_s):
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            try:
                if await self._ask_ready(balancer.port):
                    self.say(f"{balancer.name}: ready")
                    return True
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        return False

    async def _ask_ready(self, port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: b\r\nConnection: close\r\n\r\n")
            return b" 200 " in await asyncio.wait_for(reader.readline(), 2)
        finally:
            writer.close()

    def end(self):
        for balancer in self.processes:
            if balancer.alive():
                balancer.process.kill()
            balancer.process.wait()
            text = balancer.log()
            self.record.write(f"--- log of {balancer.name} (end)\n" + text[-4000:] + "\n")
        shutil.rmtree(self.temp, ignore_errors=True)


# ---- discovery, by the protocol page


class Discovery:
    def __init__(self, run):
        self.run = run
        self.version = 41
        self.entries = {}
        self.changes = []  # (version, entry)
        self.watches = set()
        self.port = None

    async def open(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def add(self, uid, port, zone="howrah", state="in_service", boot_ms=0):
        self.entries[uid] = {
            "uid": uid, "endpoint": f"127.0.0.1:{port}", "az": zone, "model": "full-box", "pod_group": 0,
            "state": state, "capacity_hint": 1.0, "boot_ms": boot_ms}

    def change(self, uid, **fields):
        """Changes an entry and tells all watches."""
        self.entries[uid] = dict(self.entries[uid], **fields)
        self.version += 1
        self.changes.append((self.version, self.entries[uid]))
        self.run.say(f"discovery: {uid} {fields}")
        for writer in list(self.watches):
            self._line(writer, {"rev": self.version, "all": False, "targets": [self.entries[uid]]})

    def whole(self):
        return {"rev": self.version, "all": True,
                "targets": [entry for entry in self.entries.values() if entry["state"] != "terminated"]}

    def _line(self, writer, value):
        self._chunk(writer, (json.dumps(value) if value else "").encode() + b"\n")

    @staticmethod
    def _chunk(writer, data):
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                path = head.split(" ", 2)[1]
                if "watch=1" not in path:
                    body = json.dumps(self.whole()).encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                    continue
                after = int(path.split("from=")[1].split("&")[0])
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                changed = [entry for version, entry in self.changes if version > after]
                if after < 41:
                    self._line(writer, self.whole())
                elif changed:
                    self._line(writer, {"rev": self.version, "all": False, "targets": changed})
                self.watches.add(writer)
                try:
                    while not writer.is_closing():
                        await asyncio.sleep(2)
                        self._line(writer, None)
                        await writer.drain()
                finally:
                    self.watches.discard(writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


# ---- upstreams, by the protocol page


class Gate:
    """
    A listening socket whose connections can come up late. While the gate is shut nobody accepts and its queue is full
    (of connections of its own), so the system drops each SYN. The caller's system sends the SYN again 1 s after the
    first; if the gate is open by then, the connection comes up 1 s late.
    """

    def __init__(self, accepted):
        self.accepted = accepted
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(4)
        self.listener.setblocking(False)
        self.fillers = []
        self.own = set()
        self.is_shut = False
        self._watch()

    def _watch(self):
        asyncio.get_running_loop().add_reader(self.listener, self._accept)

    def _accept(self):
        try:
            sock, peer = self.listener.accept()
        except BlockingIOError:
            return
        if peer in self.own:
            self.own.discard(peer)
            sock.close()
        else:
            sock.setblocking(False)
            asyncio.get_running_loop().create_task(self.accepted(sock))

    def shut(self):
        if not self.is_shut:
            self.is_shut = True
            asyncio.get_running_loop().remove_reader(self.listener)
            for _ in range(10):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(self.listener.getsockname())
                self.own.add(filler.getsockname())
                self.fillers.append(filler)

    def open(self):
        if self.is_shut:
            self.is_shut = False
            for filler in self.fillers:
                filler.close()
            self.fillers = []
            self._watch()


class Request:
    def __init__(self, upstream, method, path, headers, body, head_at, writer, number):
        self.upstream, self.method, self.path, self.headers, self.body = upstream, method, path, headers, body
        self.head_at, self.writer, self.number = head_at, writer, number
        self.at = upstream.run.now()
        self.id = headers.get("req-id", "")
        self.kind = headers.get("req-kind", "")

    def reset(self):
        reset_on_close(self.writer.get_extra_info("socket"))
        self.writer.transport.abort()


def answer_bytes(body, status="200 OK", headers=(), chunked=False, chunk=16384):
    head = f"HTTP/1.1 {status}\r\n" + "".join(f"{name}: {value}\r\n" for name, value in headers)
    if not chunked:
        return (head + f"Content-Length: {len(body)}\r\n\r\n").encode() + body
    pieces = [body[at:at + chunk] for at in range(0, len(body), chunk)]
    return (head + "Transfer-Encoding: chunked\r\n\r\n").encode() + b"".join(
        b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces) + b"0\r\n\r\n"


def body_for(request_id, size=0):
    """The body that only the request with this id is answered with."""
    text = f"answer to {request_id};".encode()
    return (text * (size // len(text) + 1))[:max(size, len(text))]


class Upstream:
    """Serves each request by behave(request), a coroutine that writes the answer to request.writer."""

    def __init__(self, run, uid, behave):
        self.run, self.uid, self.behave = run, uid, behave
        self.got = []  # requests, each noted when its last byte had arrived
        self.connections = 0
        self.writers = set()

    async def open(self, **options):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20, **options)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def open_gated(self):
        """Opens with a gate: while that is shut, connections to this upstream come up late."""
        self.gate = Gate(self._accepted)
        self.port = self.gate.listener.getsockname()[1]
        return self

    async def _accepted(self, sock):
        # The socket is as the system gives it, without TCP_NODELAY, unlike those of asyncio's own servers.
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader(limit=1 << 20)
        protocol = asyncio.StreamReaderProtocol(reader, self._serve)
        await loop.connect_accepted_socket(lambda: protocol, sock)

    async def _serve(self, reader, writer):
        self.connections += 1
        self.writers.add(writer)
        number = self.connections
        try:
            while True:
                first = await reader.readexactly(1)
                head_at = self.run.now()
                head = (first + await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                method, path, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                if path in ("/-/healthy", "/-/load"):
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                    continue
                body = await self._body(reader, headers)
                request = Request(self, method, path, headers, body, head_at, writer, number)
                self.got.append(request)
                await self.behave(request)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    @staticmethod
    async def _body(reader, headers):
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                if size == 0:
                    while (await reader.readline()).strip():
                        pass
                    return body
                body += await reader.readexactly(size)
                await reader.readexactly(2)
        return await reader.readexactly(int(headers.get("content-length", "0")))


# ---- clients, by the protocol page


def request_bytes(run, kind, key, deadline_ms, method="GET", body=b"", headers=(), request_id=None):
    request_id = request_id or run.fresh_id()
    head = (f"{method} /api/{key} HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {request_id}\r\nReq-Kind: {kind}\r\n"
            f"Req-Owner: acme\r\nReq-Deadline-Ms: {deadline_ms}\r\n")
    head += "".join(f"{name}: {value}\r\n" for name, value in headers)
    if method != "GET":
        head += f"Content-Length: {len(body)}\r\n"
    return request_id, (head + "\r\n").encode(), body


class Client:
    """One connection of a client, on a plain socket: nothing is read ahead of what the client asks for."""

    def __init__(self, sock):
        self.sock = sock
        self.rest = b""
        self.closing = False  # the last answer said that the balancer closes the connection

    @classmethod
    async def connect(cls, port, receive_buffer=None, segment=None):
        """segment: the largest segment that the client takes; over Ethernet it is 1,460 bytes, on loopback 64 KiB."""
        sock = socket.socket()
        sock.setblocking(False)
        if receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        if segment:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, segment)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port))
        return cls(sock)

    async def send(self, data):
        await asyncio.get_running_loop().sock_sendall(self.sock, data)

    async def receive(self, most=65536):
        return await asyncio.get_running_loop().sock_recv(self.sock, most)

    async def head(self):
        """Reads the head of an answer; returns its status and headers. 0: the connection ended without one."""
        while b"\r\n\r\n" not in self.rest:
            data = await self.receive(2048)
            if not data:
                return 0, {}
            self.rest += data
        head, self.rest = self.rest.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
        self.closing = headers.get("connection", "").lower() == "close"
        return int(lines[0].split(" ")[1]), headers

    async def answer(self, pace=None):
        """
        Reads a whole answer. Returns status, body and whether it was whole; status 0: the connection ended without a
        head. pace(count) is awaited after each read of a body's bytes.
        """
        try:
            status, headers = await self.head()
        except OSError:
            return 0, b"", False
        if status == 0:
            return 0, b"", False
        body = bytearray()
        try:
            if headers.get("transfer-encoding", "").lower() == "chunked":
                while True:
                    while b"\r\n" not in self.rest:
                        await self._more(pace)
                    line, self.rest = self.rest.split(b"\r\n", 1)
                    size = int(line.split(b";")[0], 16)
                    while len(self.rest) < size + 2:
                        await self._more(pace)
                    body += self.rest[:size]
                    self.rest = self.rest[size + 2:]
                    if size == 0:
                        return status, bytes(body), True
            length = int(headers["content-length"])
            while len(body) < length:
                if not self.rest:
                    await self._more(pace)
                taken = self.rest[:length - len(body)]
                body += taken
                self.rest = self.rest[len(taken):]
            return status, bytes(body), True
        except (OSError, EOFError):
            return status, bytes(body), False

    async def _more(self, pace):
        data = await self.receive(16384)
        if not data:
            raise EOFError
        self.rest += data
        if pace:
            await pace(len(data))

    def close(self, reset=False):
        if reset:
            reset_on_close(self.sock)
        self.sock.close()


# ---- the frame of a case


def main(case, folder):
    async def play(run):
        await asyncio.wait_for(case(run), LIMIT_S)

    def stop(number, frame):
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, stop)  # whoever ends the script early ends the balancers too
    run = Run(os.path.abspath(folder))
    status = 2
    try:
        asyncio.run(play(run))
        status = 1 if run.breaks else 0
    except BaseException:  # whatever it is, the case has not run to its end
        run.say("could not run: " + traceback.format_exc())
        print(traceback.format_exc(), file=sys.stderr)
    finally:
        run.end()
    run.say(f"exit {status}, {len(run.breaks)} breaks")
    print(f"exit {status}: {len(run.breaks)} breaks" + "".join("\n  " + text for text in run.breaks[:5]))
    sys.exit(status)
