"""A second copy of a refusal is taken for the answer to the same request's next attempt."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standins  # noqa: E402

EXTRA_SHARE = 0.03   # Of the answers are sent a second time.
FULL_SHARE = 0.25     # Of the requests come while the replica is full.
SECONDS = 75
REQUESTS_PER_S = 40


class Application(standins.Replica):
    """Refuses some requests as full. A faulty one sends some answers twice, the copy late: where
    the next answer on the connection is expected."""

    def __init__(self, *arguments, is_faulty):
        super().__init__(*arguments)
        self.is_faulty = is_faulty
        self.copies = {}  # by connection: the second copy that is due with its next answer

    async def answer(self, writer, request_id, headers, body):
        copy = self.copies.pop(writer, None)
        if copy is not None:
            self.record.line(f"second copy from {self.name} for {copy[0]}")
            writer.write(copy[1])
        if random.random() < FULL_SHARE:
            answer = self.refusal(request_id)
            writer.write(answer)
        else:
            answer = await self.run(writer, request_id)
        if self.is_faulty and random.random() < EXTRA_SHARE:
            self.copies[writer] = (request_id, answer)


async def scenario(record, trouble, deployments):
    deployment = standins.Deployment(record, gateways=3)
    deployments.append(deployment)
    deployment.replicas = [
        Application(record, deployment.store, f"{deployment.network}.41", "app-1", "ledger", "a",
                    is_faulty=trouble)]
    await deployment.start(standins.configuration(
        [standins.route("pay", "unsafe", "ledger", attempts=3)], [standins.service("ledger")]))
    answers = {}

    async def one():
        gateway = random.choice(deployment.gateways)
        request_id, status, _ = await deployment.send(gateway, "POST", "/pay/x")
        answers[request_id] = status

    tasks = []
    for _ in range(SECONDS * REQUESTS_PER_S):
        tasks.append(asyncio.ensure_future(one()))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks)
    await asyncio.sleep(1)
    ran = [request for replica in deployment.replicas for request in replica.runs]
    refused = [request for request, status in answers.items() if status in (408, 421, 429, 503)]
    false = sorted(set(refused) & set(ran))
    twice = sorted({request for request in ran if ran.count(request) > 1})
    record.say(f"requests {len(answers)}, served {sum(s == 200 for s in answers.values())}, "
               f"refused as not run {len(refused)}, of these ran {len(false)}, "
               f"ran twice {len(twice)}")
    for request in false:
        record.say(f"refused with {answers[request]} though it ran: {request}")
    for request in twice:
        record.say(f"ran {ran.count(request)} times, answered {answers[request]}: {request}")
    return bool(twice)


standins.run(scenario, FOLDER)
