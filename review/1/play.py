"""Case 1: a booking whose connection is reset after its last byte is answered 503, is sent again, and runs twice."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from lbtest import Balancer, CannotRun, Discovery, await_ready, main, read_message, reset, settings, write_config

BOOKINGS = 40
UPSTREAMS = 10
RESET_EACH = 5  # one booking in this many is broken off, on its first try only
SIZES = (65_700, 66_000, 66_300)  # bytes of a body
CLIENT_RETRIES = 2


async def play(record, folder, trouble, started):
    runs = {}  # by booking: how often an upstream received the whole of it and ran it

    async def upstream(reader, writer):
        try:
            while True:
                first, headers, body = await read_message(reader)
                if first.startswith("GET /-/"):
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                    continue
                booking = body[:12].decode()
                runs[booking] = runs.get(booking, 0) + 1
                record("upstream ran %s, %d bytes, Req-Id %s, run %d"
                       % (booking, len(body), headers["req-id"], runs[booking]))
                await asyncio.sleep(0.05)
                if trouble and int(booking[-4:]) % RESET_EACH == 0 and runs[booking] == 1:
                    record("upstream resets the connection under %s" % booking)
                    reset(writer)
                    return
                answer = b"booked " + booking.encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(answer) + answer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass

    discovery = Discovery(record)
    await discovery.start()
    for i in range(UPSTREAMS):
        server = await asyncio.start_server(upstream, "127.0.0.1", 0)
        discovery.add("s-%d" % i, server.sockets[0].getsockname()[1])
    config = write_config(folder, discovery, "b1", "127.0.0.1:0", settings())
    balancer = Balancer(record, folder, "b1", config, "127.0.0.1:0", discovery.address)
    started.append(balancer)
    port = await balancer.listening()
    await await_ready(port, balancer)

    answers = {}
    for i in range(BOOKINGS):
        booking = "booking-%04d" % i
        answers[booking] = []
        for attempt in range(1 + CLIENT_RETRIES):
            request_id = "%012d%04d" % (i, attempt)  # fresh for each request, a client's retry included
            size = SIZES[i % len(SIZES)]
            head = ("POST /api/seat-%d HTTP/1.1\r\nHost: backend.local\r\nReq-Id: %s\r\nReq-Kind: book-seat\r\n"
                    "Req-Owner: shyamal-travels\r\nReq-Deadline-Ms: 3000\r\nConnection: close\r\n"
                    "Content-Length: %d\r\n\r\n" % (i, request_id, size))
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(head.encode() + booking.encode().ljust(size, b"."))
            try:
                first, _, body = await asyncio.wait_for(read_message(reader), 5)
                status = first.split()[1]
            except (asyncio.IncompleteReadError, asyncio.TimeoutError, ConnectionError) as e:
                status, body = "none: %r" % e, b""
            writer.close()
            answers[booking].append(status)
            record("client: %s, Req-Id %s, answer %s %r" % (booking, request_id, status, body[:60]))
            if status not in ("429", "503"):
                break  # what may not be repeated is sent again only after a refusal
            await asyncio.sleep(0.1)
        await asyncio.sleep(0.05)

    if not any("200" in got for got in answers.values()):
        raise CannotRun("no booking was served")
    twice = sorted(booking for booking, count in runs.items() if count > 1)
    for booking in twice:
        record("%s ran %d times; its client got %s" % (booking, runs[booking], ", ".join(answers[booking])))
    record.say("%d bookings, %d ran, %d ran more than once" % (BOOKINGS, len(runs), len(twice)))
    return "bookings that ran more than once, after an answer 503: " + ", ".join(twice) if twice else None


main(os.path.dirname(os.path.abspath(__file__)), play)
