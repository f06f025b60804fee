"""What cases 12 and 15 share: some clients send costly requests at a moderate rate, and the answers
that ordinary callers of the same gateway get are checked."""

import asyncio
import pathlib
import time

import standins3 as s

CLIENTS = 240
INTERVAL_S = 2.0  # Of each of these clients, which has one request open at a time.
ORDINARY_PER_S = 20
RUN_S = 20
TIMEOUT_S = 1.2  # timeoutMs of the route.
SLACK_S = 0.5
MAX_HEADER_BYTES = 16384


async def crowd_client(address, number, headers, end, counts):
    await asyncio.sleep(INTERVAL_S * number / CLIENTS)
    sent = 0
    while time.monotonic() < end:
        began = time.monotonic()
        sent += 1
        request = s.request_bytes("GET", "/safe/x", f"crowd-{number}-{sent}", headers)
        assert len(request) <= MAX_HEADER_BYTES
        status = await s.call(address, request, 2.5)
        counts[status] = counts.get(status, 0) + 1
        await asyncio.sleep(max(0, began + INTERVAL_S - time.monotonic()))


async def ordinary_call(address, number, record):
    request = s.request_bytes("GET", "/safe/y", f"ordinary-{number}")
    began = time.monotonic()
    status = await s.call(address, request, TIMEOUT_S + SLACK_S)
    record.append((number, status, time.monotonic() - began))


def cpu_seconds(process):
    return float(pathlib.Path(f"/proc/{process.pid}/schedstat").read_text().split()[0]) / 1e9


async def play(deployment, headers, record_path):
    """Returns whether CONFIG held: it is broken if eight ordinary requests or more, and more than
    half of those that are unanswered at the route's timeoutMs, have no answer 0.5 s later."""
    _, servers, started = await s.start_plain_deployment(deployment)
    settings, process = started[0]
    address = settings["listen"]["front"]
    end = time.monotonic() + RUN_S
    counts, record, calls = {}, [], []
    crowd = [asyncio.create_task(crowd_client(address, n, headers, end, counts))
             for n in range(CLIENTS)]
    while time.monotonic() < end:
        calls.append(asyncio.create_task(ordinary_call(address, len(calls) + 1, record)))
        await asyncio.sleep(1 / ORDINARY_PER_S)
    await asyncio.gather(*calls)
    cpu = cpu_seconds(process)
    for task in crowd:
        task.cancel()
    late = [r for r in record if r[2] > TIMEOUT_S]
    unanswered = [r for r in late if r[1] == "no answer"]
    runs = {run for server in servers for run in server.runs}
    with open(record_path, "w", encoding="utf-8") as file:
        file.write(f"trouble {s.TROUBLE}\n"
                   f"requests of the {CLIENTS} clients, by answer: {counts}\n"
                   f"ordinary requests: sent {len(record)}, unanswered at timeoutMs {len(late)}, "
                   f"without an answer {SLACK_S} s later {len(unanswered)}\n"
                   f"run by the servers: {len(runs)}\n"
                   f"processor time of the gateway: {cpu:.1f} s, peak memory "
                   f"{s.peak_megabytes(process):.0f} MB\n")
        for number, status, elapsed in sorted(record):
            file.write(f"ordinary-{number} answer {status} after {elapsed * 1000:.0f} ms "
                       f"{'run' if f'ordinary-{number}' in runs else 'not run'}\n")
    return not (len(unanswered) >= 8 and len(unanswered) > len(late) / 2)
