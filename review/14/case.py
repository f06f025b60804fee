"""A request that crashes each server that begins to run it comes again and again, with the same
path, caller and body. As with any request, the last part of its prompt is its own."""

import asyncio
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import standins3 as s  # noqa: E402

SERVERS = 8
FATAL_INTERVAL_S = 1.5
SOUND_PER_S = 10
RUN_S = 45
STABILITY_WINDOW_S = 3.0
FATAL_BODY = b'{"prompt":"the one that crashes"}'
SAME_PREFIX = False  # For a trial: the own part is the same in each retry.


async def send(address, path, request_id, own_part, body, answers):
    prefix = f"5c1e07a2:40,{own_part}:674"
    request = s.request_bytes("POST", path, request_id,
                              [("X-Model", "m"), ("X-Token-Count", "714,96"),
                               ("X-Prompt-Prefix", prefix)], body, deadline_ms=8000)
    answers[request_id] = await s.call(address, request, 8.5)


async def main(deployment):
    store = s.Store()
    await store.start()
    await store.put("config", "main", s.stream_configuration())
    record = []
    fatal_body = FATAL_BODY if s.TROUBLE else None
    servers = [s.StreamServer(n, store, record, fatal_body) for n in range(SERVERS)]
    for server in servers:
        await server.start()
    controls = [f"{s.HOST}:{s.free_port()}" for _ in range(2)]
    addresses = []
    for n, control in enumerate(controls):
        settings = deployment.gateway_settings(f"gateway-{n + 1}", store.port, controls, control)
        process = deployment.start_gateway(settings)
        await s.until_ready(settings["listen"]["ready"], process)
        addresses.append(settings["listen"]["front"])
    begin = time.monotonic()
    answers, calls, fatal_sent, sound_sent = {}, [], 0, 0
    draw = random.Random(7)
    while time.monotonic() < begin + RUN_S:
        sound_sent += 1
        path = "/once/x" if sound_sent % 4 < 2 else "/stream/x"
        calls.append(asyncio.create_task(send(
            addresses[sound_sent % 2], path, f"sound-{sound_sent}", f"{draw.getrandbits(32):08x}",
            f'{{"prompt":"sound {sound_sent}"}}'.encode(), answers)))
        if time.monotonic() > begin + 5 + FATAL_INTERVAL_S * fatal_sent:
            fatal_sent += 1
            own = "e4402b7d" if SAME_PREFIX else f"{draw.getrandbits(32):08x}"
            calls.append(asyncio.create_task(send(
                addresses[fatal_sent % 2], "/stream/x", f"fatal-{fatal_sent}", own, FATAL_BODY,
                answers)))
        await asyncio.sleep(1 / SOUND_PER_S)
    await asyncio.gather(*calls)
    crashes = [r for r in record if r[3]]
    limit = crashes[2][0] + STABILITY_WINDOW_S if len(crashes) > 2 else None
    late = sorted({r[1] for r in crashes if limit is not None and r[0] > limit})
    # Sound requests that were cut off ended with 502 or in the middle of their stream.
    sound = [status for name, status in answers.items() if name.startswith("sound")]
    with open(FOLDER / "record.txt", "w", encoding="utf-8") as file:
        file.write(f"trouble {s.TROUBLE}\n"
                   f"fatal requests: sent {fatal_sent}, servers crashed {len(crashes)}; retries "
                   f"that reached servers later than stabilityWindowMs after the third crash: "
                   f"{len(late)}\n"
                   f"sound requests: sent {sound_sent}, by answer: "
                   f"{ {str(a): sound.count(a) for a in sorted(set(sound), key=str)} }\n")
        for at, request, server, is_fatal in record:
            if request.startswith("fatal"):
                file.write(f"{at - begin:.3f} s {request} reaches {server}"
                           f"{', which crashes' if is_fatal else ''}\n")
        for name, status in answers.items():
            if name.startswith("fatal"):
                file.write(f"{name} answer {status}\n")
    return len(late) <= 3


s.run_case(main)
