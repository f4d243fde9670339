"""Stand-ins and helpers that the cases share: discovery, upstreams, clients and the start of a balancer.

Loopback addresses only, ports that the system hands out, one temporary folder per run. Python's standard library only.
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

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
START = time.monotonic()


class CannotRun(Exception):
    """The case could not run: exit code 2."""


class Record:
    """The file record.txt of a case: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1, encoding="utf-8")

    def __call__(self, text):
        self.file.write("%9.3f %s\n" % (time.monotonic() - START, text))

    def say(self, text):
        self(text)
        print(text, flush=True)


def settings(classes=None, **changes):
    """Settings of a small deployment: the figures of the example on the wire page."""
    result = {
        "Areas": ["howrah", "siliguri", "durgapur"],
        "Balancers": 1,
        "Blend": {"Whole": 0.35, "WorstClass": 0.4, "WorstTenant": 0.1, "WorstWindow": 0.15},
        "Callers": {"MarksRetry": False},
        "Classes": classes
        or [
            {"DedupScope": "all", "Gain": 1.0, "GiveUp": 1000000, "GoalTime": 200000, "Idempotency": "safe",
             "KeyTtl": 5000000, "LateShare": 0.0, "Name": "seat-lookup", "Stream": False},
            {"DedupScope": "all", "Gain": 2.0, "GiveUp": 3000000, "GoalTime": 800000, "Idempotency": "unsafe",
             "KeyTtl": 5000000, "LateShare": 0.0, "Name": "book-seat", "Stream": False},
        ],
        "Kinds": ["full-box", "slow-box"],
        "Limits": {"Cancel": True, "CpuUsPerRequest": 0.0, "CpuUsPerS": 400000, "DialTimeout": 100000,
                   "IdleClose": 60000000, "MaxOpen": 20000, "MaxRetryAfter": 1500000, "MayDuplicate": False,
                   "PeerMessages": False, "Probes": True, "RetryAfter": False, "StreamsPerConn": 1, "TryLimit": 5},
        "Locality": 0,
        "MembershipMode": "ask",
        "OverShareWorth": 0.1,
        "Prices": {"Connection": 0.0, "CrossZone": 0.01, "Handshake": 0.02, "LateFail": 0.041, "MembershipMode": 0.0,
                   "Moves": 0.0, "Origin": 0.0, "Peer": 0.0, "Probe": 0.01, "Waste": 0.041},
        "Quantum": 5000,
        "Rank": 0,
        "Realms": [{"AllowancePerS": 2000.0, "Name": "shyamal-travels", "Portion": 1.0}],
        "Rules": {"AnswerSlack": 20000, "AskWithin": 10000000, "ColdFrom": 0.3, "DrainGrace": 1500000,
                  "Fall": 2000000, "OverloadFactor": 3.0, "RampTime": 8600000},
        "Specifics": {"WarmKeys": True},
        "Stats": {"Fields": [], "How": "none"},
        "Tier": 0,
        "Tiers": ["seat-servers"],
        "WeightKind": "none",
        "Workload": "proxy",
        "WorthBy": "request",
    }
    result.update(changes)
    return result


# ---- discovery


class Discovery:
    """The box register: the whole list, or a watch with an empty line every 2 s."""

    def __init__(self, record):
        self.record = record
        self.rev = 41
        self.targets = {}
        self.watches = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def add(self, uid, port, az="howrah", model="full-box", state="in_service", boot_ms=0):
        self.targets[uid] = {"uid": uid, "endpoint": "127.0.0.1:%d" % port, "az": az, "model": model, "pod_group": 0,
                             "state": state, "capacity_hint": 1.0, "boot_ms": boot_ms}

    def whole(self):
        return {"rev": self.rev, "all": True, "targets": list(self.targets.values())}

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                path = head.split(b" ")[1].decode()
                if "watch=1" in path:
                    await self.watch(path, writer)
                    return
                body = json.dumps(self.whole()).encode() + b"\n"
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def watch(self, path, writer):
        since = int(path.split("from=")[1].split("&")[0])
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        if since == self.rev:
            self.line(writer, b"\n")
        else:
            self.line(writer, json.dumps(self.whole()).encode() + b"\n")
        while not writer.is_closing():
            await writer.drain()
            await asyncio.sleep(2)
            self.line(writer, b"\n")

    @staticmethod
    def line(writer, data):
        writer.write(b"%x\r\n" % len(data) + data + b"\r\n")


# ---- HTTP


async def read_message(reader):
    """Reads one message with a Content-Length or none; returns its first line, its headers and its body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


def reset(writer):
    """Ends a connection with a reset."""
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


# ---- the balancer


class Balancer:
    """One process of the deploy file's run line."""

    def __init__(self, record, folder, name, config_file, listen, discovery, admin=None, listener=None, variables=None):
        self.record = record
        self.log_file = os.path.join(folder, name + "-%d.log" % time.monotonic_ns())
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as deploy:
            run = tomllib.load(deploy)["run"]
        temporary = os.path.join(folder, "tmp")
        os.makedirs(temporary, exist_ok=True)
        environment = dict(os.environ, ROUTER_NAME=name, ROUTER_LISTEN=listen, ROUTER_DISCOVERY=discovery,
                           ROUTER_CONFIG=config_file, TMPDIR=temporary, **(variables or {}))
        if admin:
            environment["ROUTER_ADMIN_ADDR"] = admin
        if listener is not None:
            environment["ROUTER_INHERITED_FD"] = "0"
        self.process = subprocess.Popen(
            ["sh", "-c", run], cwd=ROOT, env=environment, stdin=listener if listener is not None else subprocess.DEVNULL,
            stdout=open(self.log_file, "wb"), stderr=subprocess.STDOUT, start_new_session=True)
        record("started balancer %s, listening on %s" % (name, listen))

    async def listening(self, seconds=20):
        """Waits for the log line that names the address; returns the port."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            for line in self.log().splitlines():
                if "listening on " in line:
                    return int(line.rsplit(":", 1)[1])
            if self.process.poll() is not None:
                break
            await asyncio.sleep(0.05)
        raise CannotRun("the balancer doesn't listen: " + self.log())

    def log(self):
        with open(self.log_file, encoding="utf-8", errors="replace") as log:
            return log.read()

    def signal(self, number):
        self.record("sent %s to the balancer" % signal.Signals(number).name)
        self.process.send_signal(number)

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


async def await_ready(port, balancer, seconds=30):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if balancer.process.poll() is not None:
            raise CannotRun("the balancer has ended: " + balancer.log())
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: b\r\nConnection: close\r\n\r\n")
            first = await asyncio.wait_for(reader.readline(), 2)
            writer.close()
            if b" 200 " in first:
                return
        except (OSError, asyncio.TimeoutError):
            pass
        await asyncio.sleep(0.1)
    raise CannotRun("the balancer is not ready: " + balancer.log())


async def call_operator(address, line, seconds=2):
    """One operators' call; returns the answer, or None where nobody answers."""
    try:
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(line.encode() + b"\n")
        answer = await asyncio.wait_for(reader.readline(), seconds)
        writer.close()
        return answer.decode().strip()
    except (OSError, asyncio.TimeoutError):
        return None


def write_config(folder, discovery, name, listen, body, memory_mb=192, sockets=1024):
    path = os.path.join(folder, "config.json")
    config = {"name": name, "listen": listen, "discovery": discovery.address, "seed": "8c1f30d27a5be964",
              "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}, "known": discovery.whole(),
              "settings": body}
    with open(path + ".new", "w", encoding="utf-8") as file:
        json.dump(config, file)
    os.rename(path + ".new", path)
    return path


def main(folder, play):
    """Runs play(record, folder, trouble), which returns the text of the break, or None where the rule held."""
    record = Record(folder)
    temporary = tempfile.mkdtemp(prefix="lb-")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    started = []
    code = 2
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))

    async def limited():
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        return await asyncio.wait_for(play(record, temporary, trouble, started), 110)

    try:
        broken = asyncio.run(limited())
        record.say("BROKEN: " + broken if broken else "HELD")
        code = 1 if broken else 0
    except (CannotRun, asyncio.TimeoutError, OSError) as e:
        record.say("could not run: %r" % e)
    finally:
        for process in started:
            process.end()
            log = process.log()
            record("log of a balancer:\n" + log[-6000:])
        shutil.rmtree(temporary, ignore_errors=True)
    sys.exit(code)
