"""A planned restart while bodies arrive slowly and some upstreams hang: each request that arrives has to be answered."""
import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
import stand  # noqa: E402

CLIENTS = 12
RATE = 65_536  # bytes of a body a second
BODY = 282_624  # 4.3 s at that rate
TERM_AT_S = 1.3  # after the first client began to send
DEADLINE_S = 3.0  # the longest
ARRIVED_AFTER_S = 0.7 + 0.05  # after SIGTERM: what SIGKILL finds unanswered is lost only if it arrived later than this
KILL_AFTER_S = DEADLINE_S + 0.7 + 0.05  # after SIGTERM; the page: no sooner than the longest deadline and 0.7 s


async def case(run):
    hangs = []

    async def behave(request):
        run.say(f"{request.upstream.uid}: has all of {request.id}, {len(request.body)} bytes")
        if request.upstream in hangs:
            await asyncio.sleep(60)
        await asyncio.sleep(0.06)
        run.say(f"{request.upstream.uid}: ran {request.id}")
        request.writer.write(stand.answer_bytes(stand.body_for(request.id)))

    discovery = await stand.Discovery(run).open()
    upstreams = []
    for number in range(6):
        upstreams.append(await stand.Upstream(run, f"s-{number}", behave).open())
        discovery.add(upstreams[-1].uid, upstreams[-1].port)
    site = stand.settings([stand.SEAT_LOOKUP, stand.BOOK_SEAT])
    balancer = await run.start("b1", run.write_config("b1", site, discovery), discovery)

    async def client(number):
        await asyncio.sleep(0.05 * number)
        connection = await stand.Client.connect(balancer.port)
        request_id, head, body = stand.request_bytes(
            run, "book-seat", f"seat{number}", int(DEADLINE_S * 1000), "POST", bytes(BODY))
        sent_at = None

        async def send():
            nonlocal sent_at
            await connection.send(head)
            for at in range(0, BODY, RATE // 16):
                await asyncio.sleep(1 / 16)
                await connection.send(body[at:at + RATE // 16])
            sent_at = run.now()
            run.say(f"client {number}: sent all of {request_id}")

        sending = asyncio.create_task(send())
        status, _, whole = await connection.answer()
        run.say(f"client {number}: {request_id}: {status if whole else 'the end of the connection'}")
        sending.cancel()
        try:
            await sending
        except (asyncio.CancelledError, OSError):
            pass
        connection.close()
        return request_id, sent_at, status if whole else 0

    clients = [asyncio.create_task(client(number)) for number in range(CLIENTS)]
    await asyncio.sleep(TERM_AT_S)
    told_at = run.now()
    killed_at = None
    if stand.TROUBLE:
        hangs.extend(upstreams[:3])  # a half of them
        balancer.signal(signal.SIGTERM)
        await balancer.ended(KILL_AFTER_S - (run.now() - told_at))
        if balancer.alive():
            killed_at = run.now()
            balancer.signal(signal.SIGKILL)
        else:
            run.say("b1: has ended")
    results = await asyncio.gather(*clients)
    for request_id, sent_at, status in results:
        if sent_at is None or status:
            continue  # it never arrived whole, or has its final answer
        after = sent_at - told_at
        if killed_at and (after <= ARRIVED_AFTER_S or sent_at >= killed_at):
            run.say(f"{request_id}: excused, it arrived {after:.2f} s after SIGTERM")
            continue
        run.broken(f"{request_id} arrived {after:.2f} s after SIGTERM and was never answered")


stand.main(case, HERE)
