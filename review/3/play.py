"""Case 3: a large body goes to an upstream that hangs in the middle of it; the request never gets an answer."""
import asyncio
import os
import signal
import socket
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from lbtest import Balancer, CannotRun, Discovery, await_ready, main, settings, write_config

UPSTREAMS = 8
HANGING = 3  # between a quarter and a half
REQUESTS = 32
SIZES = (4_800_000, 5_200_000, 5_600_000, 6_000_000)  # bytes of a body
DEADLINE = 3.0
ALLOWANCE = 0.5 + 0.05  # after its time a request may still be answered for so long
WAIT = 20.0  # how long the client goes on waiting, from its last byte


async def play(record, folder, trouble, started):
    hung = 0

    def upstream(hangs):
        async def serve(reader, writer):
            nonlocal hung
            try:
                while True:
                    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                    fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if line)
                    left = int(fields.get("content-length", "0"))
                    if hangs and left > 0:
                        record("upstream hangs in the body of Req-Id " + fields["req-id"])
                        hung += 1
                        writer.transport.pause_reading()  # the connection stays open and silent
                        await asyncio.sleep(1000)
                    while left > 0:
                        left -= len(await reader.readexactly(min(left, 65_536)))
                    if "req-id" in fields:
                        record("upstream answers Req-Id " + fields["req-id"])
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            except (asyncio.IncompleteReadError, ConnectionError):
                pass

        return serve

    discovery = Discovery(record)
    await discovery.start()
    for i in range(UPSTREAMS):
        server = await asyncio.start_server(upstream(trouble and i < HANGING), "127.0.0.1", 0, limit=65_536)
        discovery.add("s-%d" % i, server.sockets[0].getsockname()[1])
    config = write_config(folder, discovery, "b1", "127.0.0.1:0", settings())
    balancer = Balancer(record, folder, "b1", config, "127.0.0.1:0", discovery.address)
    started.append(balancer)
    port = await balancer.listening()
    await await_ready(port, balancer)

    async def client(i):
        """Returns the seconds from the last byte to the answer; None if that byte could not be written."""
        await asyncio.sleep(i * 0.15)
        size = SIZES[i % len(SIZES)]
        request_id = "%016d" % i
        head = ("POST /api/seat-%d HTTP/1.1\r\nHost: backend.local\r\nReq-Id: %s\r\nReq-Kind: book-seat\r\n"
                "Req-Owner: shyamal-travels\r\nReq-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n"
                % (i, request_id, DEADLINE * 1000, size))
        loop = asyncio.get_running_loop()
        with socket.socket() as connection:
            connection.setblocking(False)
            await loop.sock_connect(connection, ("127.0.0.1", port))
            try:
                await asyncio.wait_for(loop.sock_sendall(connection, head.encode() + bytes(size)), 5)
            except (asyncio.TimeoutError, ConnectionError):
                record("client: Req-Id %s, %d bytes: the last byte could not be written; not counted"
                       % (request_id, size))
                return None
            last_byte = time.monotonic()
            record("client: Req-Id %s, %d bytes: last byte written" % (request_id, size))
            try:
                answer = await asyncio.wait_for(loop.sock_recv(connection, 65_536), WAIT)
                took = time.monotonic() - last_byte
                record("client: Req-Id %s: %r after %.3f s" % (request_id, answer[:40], took))
                return took
            except (asyncio.TimeoutError, ConnectionError) as e:
                record("client: Req-Id %s: NO ANSWER in %.1f s (%s)"
                       % (request_id, time.monotonic() - last_byte, type(e).__name__))
                return float("inf")

    took = await asyncio.gather(*[client(i) for i in range(REQUESTS)])
    counted = [seconds for seconds in took if seconds is not None]
    if not counted:
        raise CannotRun("no request was written whole")
    lost = sum(1 for seconds in counted if seconds > DEADLINE + ALLOWANCE)
    record.say("%d requests written whole, %d met an upstream that hangs, %d not answered in %.2f s"
               % (len(counted), hung, lost, DEADLINE + ALLOWANCE))
    if lost:  # an observation only: it is not part of the check
        balancer.signal(signal.SIGTERM)
        await asyncio.sleep(6)
        record("6 s after SIGTERM the balancer has %s" % ("not ended" if balancer.process.poll() is None else "ended"))
    return "%d of %d requests never answered" % (lost, len(counted)) if lost else None


main(os.path.dirname(os.path.abspath(__file__)), play)
