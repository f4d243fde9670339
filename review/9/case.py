"""A good large answer with a second copy right behind it: the client has to get it whole."""
import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
import stand  # noqa: E402

SIZE = 100_000
REQUESTS = 300


async def case(run):
    dice = random.Random(7)
    doubled = set()

    async def behave(request):
        await asyncio.sleep(0.03)
        answer = stand.answer_bytes(stand.body_for(request.id, SIZE), chunked=True)
        copy = stand.TROUBLE and dice.random() < 0.2
        if copy:
            doubled.add(request.id)
        run.say(f"{request.upstream.uid}: ran {request.id}, answered with {SIZE} bytes{', twice' if copy else ''}")
        request.writer.write(answer + answer if copy else answer)

    discovery = await stand.Discovery(run).open()
    for number in range(4):
        upstream = await stand.Upstream(run, f"s-{number}", behave).open()
        discovery.add(upstream.uid, upstream.port)
    config = run.write_config("b1", stand.settings([stand.SEAT_LOOKUP, stand.BOOK_SEAT]), discovery)
    balancer = await run.start("b1", config, discovery)

    async def client(number):
        connection = None
        for turn in range(REQUESTS // 6):
            if connection is None:
                connection = await stand.Client.connect(balancer.port)
            request_id, head, _ = stand.request_bytes(run, "seat-lookup", f"k{number}-{turn % 20}", 1000)
            await connection.send(head)
            status, body, whole = await connection.answer()
            expected = stand.body_for(request_id, SIZE)
            run.say(f"client {number}: {request_id}: {status}, {len(body)} bytes, {'whole' if whole else 'cut off'}")
            if status == 200 and not (whole and body == expected):
                run.broken(f"{request_id}: {len(body)} of {SIZE} bytes, then the end, of a good answer"
                           f"{' with a second copy behind it' if request_id in doubled else ''}")
            if status == 0 or not whole:
                connection.close()
                connection = None
            await asyncio.sleep(0.02)
        if connection:
            connection.close()

    await asyncio.gather(*(client(number) for number in range(6)))
    if not balancer.alive():
        run.broken("the balancer has ended")


stand.main(case, HERE)
