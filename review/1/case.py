"""One entry of another writer in the kind `servers` whose field `slots` has another type: a list in
a list, and so on. It names no searcher to use; the others hold."""
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins import *

GATEWAYS = 3
DEPTH = 200_000  # 400 kB; max_value_bytes is 1,048,576
ENDS_ALLOWED = 2  # processes of a tenth of the machines, two at least
RESTART_S = 1.0  # the platform starts a process that ended again after a short delay


async def send_requests(site, name, count=20):
    served = 0
    for number in range(count):
        gateway = site.gateways[number % GATEWAYS]
        try:
            reader, writer = await gateway.connect()
            writer.write(encode_request("GET", "/sheet/1", f"{name}{number}", 2000))
            reply = await asyncio.wait_for(read_message(reader), 3)
            status = reply.status if reply else "closed"
            writer.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as ex:
            status = type(ex).__name__
        site.record("request", f"{name}{number}", "to", gateway.name, "->", status)
        served += status == 200
    return served


async def case(site):
    for number in range(6):
        await site.add_searcher(f"i-{number}", "sheets")
    site.store.put("config", "main", manifest(1, [route("sheets", "/sheet/", "sheets")],
                                              ["sheets"]))
    gateways = [site.add_gateway() for _ in range(GATEWAYS)]
    for it in gateways:
        await it.wait_ready()
    await asyncio.sleep(3)
    if await send_requests(site, "before") < 20:
        raise NotRun("requests failed before the trouble")
    if TROUBLE:
        site.store.put("servers", "foreign-1", '{"backend":"sheets","slots":' + "[" * DEPTH +
                       "]" * DEPTH + ',"state":"ready","sequence":1}')
        site.record("entry of another writer written")
    ended = {}  # gateway -> number of its processes that ended by themselves
    for _ in range(20):
        await asyncio.sleep(RESTART_S)
        for it in gateways:
            if not it.alive():
                ended[it.name] = ended.get(it.name, 0) + 1
                site.record("ended by itself:", it.name, "exit status", it.process.returncode)
                it.start()
    served = await send_requests(site, "after")
    site.record("ended by themselves", ended, "served at the end", served, "of 20")
    often = [name for name, count in ended.items() if count >= 3]
    if len(often) >= ENDS_ALLOWED:
        return [f"processes of {often} ended by themselves three times and more: {ended}; "
                f"{served} of 20 requests served at the end"]
    return []


run_case(case)
