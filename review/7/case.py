"""A repeat that waits for a late connection: it must not be sent when the upstreams have forgotten its key."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
import stand  # noqa: E402

WINDOW_S = 1.0  # KeyTtl
SLACK_S = 0.05 + 0.15  # of every time limit on sockets, and for a balancer held up between its clock and its write
BREAK_AFTER_S = 0.7  # when a connection is reset under the request that it carries
REQUESTS = 12
BOOK_SEAT = stand.request_class("book-seat", "keyed", 2000, 3000, Gain=2.0, KeyTtl=int(WINDOW_S * 1e6))


async def case(run):
    runs = {}  # by key: when each run began, on any upstream; they share what they remember
    to_break = set()
    upstreams = []
    late = [False]

    async def behave(request):
        key = request.headers.get("idempotency-key")
        if key is None:
            run.say(f"{request.upstream.uid}: {request.id} runs")
            await answer(request)
            return
        earlier = runs.setdefault(key, [])
        again = not earlier or request.at - earlier[0] > WINDOW_S
        run.say(f"{request.upstream.uid}: {request.id} with key {key}: "
                + ("runs" if again else "a repeat, not run again"))
        if again:
            earlier.append(request.at)
        if key in to_break and len(earlier) == 1 and again:
            if late[0]:
                await asyncio.sleep(BREAK_AFTER_S - 0.2)
                for upstream in upstreams:
                    upstream.gate.shut()
                await asyncio.sleep(0.2)
            else:
                await asyncio.sleep(BREAK_AFTER_S)
            run.say(f"{request.upstream.uid}: resets the connection under {request.id}")
            request.reset()
            for upstream in upstreams:
                asyncio.get_running_loop().call_later(0.3, upstream.gate.open)
            return
        await answer(request)

    async def answer(request):
        await asyncio.sleep(0.03)
        request.writer.write(stand.answer_bytes(stand.body_for(request.id), headers=[("Connection", "close")]))
        request.writer.close()

    discovery = await stand.Discovery(run).open()
    for number in range(6):
        upstream = stand.Upstream(run, f"s-{number}", behave)
        await upstream.open_gated()
        upstreams.append(upstream)
        discovery.add(upstream.uid, upstream.port)
    site = stand.settings([stand.SEAT_LOOKUP, BOOK_SEAT], limits={"DialTimeout": 1_500_000})
    balancer = await run.start("b1", run.write_config("b1", site, discovery), discovery)

    async def look_up(turn):
        connection = await stand.Client.connect(balancer.port)
        request_id, head, _ = stand.request_bytes(run, "seat-lookup", f"seat{turn % 20}", 1000)
        await connection.send(head)
        status, _, _ = await connection.answer()
        run.say(f"client: {request_id}: {status}")
        connection.close()

    for number in range(REQUESTS):
        for turn in range(16):  # usual traffic in between, so that no upstream counts as failing
            await look_up(turn)
        key = f"k-{os.getpid()}-{number}"
        to_break.add(key)
        late[0] = stand.TROUBLE and number % 3 == 2
        connection = await stand.Client.connect(balancer.port)
        request_id, head, body = stand.request_bytes(
            run, "book-seat", f"coach{number}", 3000, "POST", b"x" * 100, [("Idempotency-Key", key)])
        await connection.send(head + body)
        sent_at = run.now()
        status, got, whole = await connection.answer()
        run.say(f"client: {request_id} with key {key}: {status} after {run.now() - sent_at:.3f} s")
        connection.close()
        began = runs.get(key, [])
        if len(began) > 1 and began[1] - began[0] > WINDOW_S + SLACK_S:
            run.broken(f"{request_id} ran {len(began)} times: again {began[1] - began[0]:.3f} s after its first attempt, "
                       f"with a window of {WINDOW_S} s")
    if not balancer.alive():
        run.broken("the balancer has ended")


stand.main(case, HERE)
