"""Good answers with a second copy just behind: nobody may be served with it, and no book-seat may run twice for it."""
import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
import stand  # noqa: E402

CLIENTS = 16
SECONDS = 30
COPIES = 0.05  # share of the answers that a copy follows
DECLINES = 0.05  # share of the requests that an upstream turns away, as its queue is full


async def case(run):
    dice = random.Random(6)
    copied = set()
    began = {}  # book-seats: where and when each began to run

    async def behave(request):
        if dice.random() < DECLINES:
            run.say(f"{request.upstream.uid}: turns {request.kind} {request.id} away")
            request.writer.write(stand.answer_bytes(b"", "503 Service Unavailable", [("Srv-Declined", "1")]))
            return
        run.say(f"{request.upstream.uid}: runs {request.kind} {request.id}")
        if request.kind == "book-seat":
            began.setdefault(request.id, []).append(f"{request.upstream.uid} at {request.at:.4f}")
        await asyncio.sleep(dice.expovariate(1 / 0.03))
        answer = stand.answer_bytes(stand.body_for(request.id))
        request.writer.write(answer)
        if stand.TROUBLE and dice.random() < COPIES:  # nothing else waits: the connection carries one request at a time
            copied.add(request.id)
            run.say(f"{request.upstream.uid}: answers {request.id}, and again")
            request.writer.write(answer)

    discovery = await stand.Discovery(run).open()
    for number in range(6):
        upstream = await stand.Upstream(run, f"s-{number}", behave).open_gated()  # the gate stays open
        discovery.add(upstream.uid, upstream.port)
    site = stand.settings([stand.SEAT_LOOKUP, stand.BOOK_SEAT])
    balancer = await run.start("b1", run.write_config("b1", site, discovery), discovery)
    end_at = run.now() + SECONDS
    served = 0

    async def client(number):
        nonlocal served
        connection = None
        while run.now() < end_at:
            if connection is None:
                connection = await stand.Client.connect(balancer.port)
            lookup = dice.random() < 0.64
            request_id, head, body = stand.request_bytes(
                run, "seat-lookup" if lookup else "book-seat", f"seat{dice.randrange(300)}", 1000 if lookup else 3000,
                "GET" if lookup else "POST", b"" if lookup else b"one seat, please")
            await connection.send(head + body)
            status, got, whole = await connection.answer()
            run.say(f"client {number}: {request_id}: {status} {got.decode('latin-1').strip()}")
            served += status == 200
            if status == 200 and got != stand.body_for(request_id):
                run.broken(f"{request_id} was served with '{got.decode('latin-1')}'")
            if not whole or connection.closing:
                connection.close()
                connection = None
            await asyncio.sleep(dice.expovariate(1 / 0.06))
        if connection:
            connection.close()

    await asyncio.gather(*(client(number) for number in range(CLIENTS)))
    for request_id, where in began.items():
        if len(where) > 1:
            run.broken(f"book-seat {request_id} ran {len(where)} times: {', '.join(where)}")
    run.say(f"{served} requests served, {len(copied)} answers had a copy behind them")


stand.main(case, HERE)
