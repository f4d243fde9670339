"""Half-written connections, each with a head that doesn't end, crash the balancer."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from lbtest import Balancer, CannotRun, Discovery, await_ready, main, read_message, settings, write_config

UPSTREAMS = 10
USUAL_CLIENTS = 20
HALF_WRITTEN = 1000
PER_SECOND = 400
HEAD_BYTES = 7_900
LINE = b"X: 1\r\n"


async def play(record, folder, trouble, started):
    async def upstream(reader, writer):
        try:
            while True:
                _, headers, _ = await read_message(reader)
                if "req-id" in headers:
                    record("upstream runs Req-Id " + headers["req-id"])
                await asyncio.sleep(0.03)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        except (asyncio.IncompleteReadError, ConnectionError):
            pass

    discovery = Discovery(record)
    await discovery.start()
    for i in range(UPSTREAMS):
        server = await asyncio.start_server(upstream, "127.0.0.1", 0)
        discovery.add("s-%d" % i, server.sockets[0].getsockname()[1])
    # Limits halved: 96 MB and 512 descriptors.
    config = write_config(folder, discovery, "b1", "127.0.0.1:0", settings(), memory_mb=96, sockets=512)
    balancer = Balancer(record, folder, "b1", config, "127.0.0.1:0", discovery.address)
    started.append(balancer)
    port = await balancer.listening()
    await await_ready(port, balancer)

    usual = {}
    stopped = False

    async def usual_client(i):
        connection = None
        number = 0
        while not stopped and balancer.process.poll() is None:
            number += 1
            request_id = "%08d%08d" % (i, number)
            try:
                if connection is None:
                    connection = await asyncio.open_connection("127.0.0.1", port)
                reader, writer = connection
                writer.write(("GET /api/seat-%d HTTP/1.1\r\nHost: backend.local\r\nReq-Id: %s\r\n"
                              "Req-Kind: seat-lookup\r\nReq-Owner: shyamal-travels\r\nReq-Deadline-Ms: 1000\r\n\r\n"
                              % ((i * 7 + number) % 300, request_id)).encode())
                first, headers, _ = await asyncio.wait_for(read_message(reader), 3)
                outcome = first.split()[1]
                if headers.get("connection") == "close":
                    writer.close()
                    connection = None
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as e:
                outcome = "no answer, " + type(e).__name__
                connection = None
            record("usual client: Req-Id %s: %s" % (request_id, outcome))
            usual[outcome] = usual.get(outcome, 0) + 1
            await asyncio.sleep(0.2)

    ends = {}

    async def half_written(i):
        await asyncio.sleep(i / PER_SECOND)
        end = "refused"
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            record("half-written %d: connected, writes %d bytes of a head" % (i, HEAD_BYTES))
            head = ("GET /api/seat-%d HTTP/1.1\r\nHost: backend.local\r\nReq-Id: half%012d\r\n"
                    "Req-Kind: seat-lookup\r\nReq-Owner: shyamal-travels\r\nReq-Deadline-Ms: 1000\r\n" % (i % 300, i))
            writer.write(head.encode() + LINE * ((HEAD_BYTES - len(head)) // len(LINE)))  # and no empty line
            answer = await asyncio.wait_for(reader.read(1000), 10)
            end = answer[9:12].decode() or "closed"
            writer.close()
        except (OSError, asyncio.TimeoutError) as e:
            end = type(e).__name__
        record("half-written %d: %s" % (i, end))
        ends[end] = ends.get(end, 0) + 1

    clients = [asyncio.ensure_future(usual_client(i)) for i in range(USUAL_CLIENTS)]
    await asyncio.sleep(2)
    if not usual.get("200"):
        raise CannotRun("no usual request was served: %s" % usual)
    if trouble:
        record("opening %d half-written connections, %d a second" % (HALF_WRITTEN, PER_SECOND))
        await asyncio.gather(*[half_written(i) for i in range(HALF_WRITTEN)])
        record("half-written connections: %s" % ends)
    await asyncio.sleep(5)
    stopped = True
    await asyncio.gather(*clients)
    code = balancer.process.poll()  # nothing has told it to end
    record.say("usual requests: %s; the balancer %s" % (usual, "runs" if code is None else "has ended with %d" % code))
    return "the balancer ended by itself with exit code %d" % code if code is not None else None


main(os.path.dirname(os.path.abspath(__file__)), play)
