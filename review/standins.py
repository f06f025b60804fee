"""Stand-ins of the platform's store, of replicas and of requesters, and the start of gateways.

Everything runs on loopback addresses and the real clock. Only the standard library is used.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))

# The bounds of the installations on the users' pages (SYSTEM.md).
BOUNDS = {"drainMs": 2000, "graceS": 8, "retryBudgetRatio": 0.2, "retryBudgetBurst": 94,
          "budgetWindowS": 10, "coldBurstFactor": 1.5, "coldSlack": 5, "recoveryS": 12,
          "stabilityWindowMs": 3000}
HEARTBEAT_S = 1.2
MISSED_HEARTBEATS = 3


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Record:
    """Writes record.txt, with times in seconds since the start."""

    def __init__(self, folder):
        self.begin = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.begin

    def line(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")

    def say(self, text):
        self.line(text)
        print(text, flush=True)


async def read_message(reader):
    """Returns the first line, the headers by lower-case name, and the body; None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


def message(first_line, headers, body=b""):
    lines = [first_line] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's metadata store: lists, watches and writes of objects by kind."""

    def __init__(self, record, ip):
        self.record = record
        self.address = (ip, free_port(ip))
        self.revision = 100
        self.objects = {}
        self.history = []
        self.changed = asyncio.Condition()
        self.silent_before = 0.0  # Connections that were opened earlier stay open without a word.

    def silence_open_connections(self):
        self.silent_before = time.monotonic()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    def text(self, kind, name):
        revision, spec = self.objects[kind][name]
        return (b'{"metadata":{"name":"%s","revision":%d,"createdRev":%d,"finalizers":[],'
                b'"deleting":false},"spec":%s,"status":null}'
                % (name.encode(), revision, revision, spec))

    async def put(self, kind, name, spec):
        """Creates or replaces an object; spec is a value, or bytes as some writer wrote them."""
        raw = spec if isinstance(spec, bytes) else json.dumps(spec).encode()
        known = self.objects.setdefault(kind, {}).get(name)
        if known and known[1] == raw:
            return
        self.revision += 1
        self.objects[kind][name] = (self.revision, raw)
        self.history.append((self.revision, kind,
                             b'{"removed":false,"object":%s}' % self.text(kind, name)))
        async with self.changed:
            self.changed.notify_all()

    async def remove(self, kind, name):
        if name not in self.objects.get(kind, {}):
            return
        self.revision += 1
        self.history.append((self.revision, kind,
                             b'{"removed":true,"object":%s}' % self.text(kind, name)))
        del self.objects[kind][name]
        async with self.changed:
            self.changed.notify_all()

    async def serve(self, reader, writer):
        opened = time.monotonic()
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ")
                status, answer = await self.answer(method, target, body)
                if opened < self.silent_before:
                    continue
                writer.write(message(f"HTTP/1.1 {status} S", {
                    "Content-Type": "application/json", "Store-Era": "1",
                    "Content-Length": len(answer)}, answer))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        path, _, query = target.partition("?")
        options = dict(item.split("=", 1) for item in query.split("&") if "=" in item)
        parts = path[len("/-/objects/"):].split("/")
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        if method != "GET":
            return await self.write(method, kind, name, body)
        if "watch" in options:
            return await self.watch(kind, int(options["watch"]), int(options.get("waitMs", 0)))
        items = [self.text(kind, each) for each in sorted(self.objects.get(kind, {}))]
        return 200, b'{"items":[%s],"hasMore":false,"asOf":%d}' % (b",".join(items), self.revision)

    async def write(self, method, kind, name, body):
        if method == "DELETE":
            await self.remove(kind, name)
            return 200, b"{}"
        value = json.loads(body)
        name = name or value["metadata"]["name"]
        if method == "POST" and name in self.objects.get(kind, {}):
            return 409, self.text(kind, name)
        await self.put(kind, name, value["spec"])
        return 200, self.text(kind, name)

    async def watch(self, kind, after, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            events = [text for revision, of, text in self.history if of == kind and revision > after]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, b'{"events":[%s],"asOf":%d}' % (b",".join(events), self.revision)
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


class Replica:
    """A replica of a plain service. A subclass may change how it answers."""

    def __init__(self, record, store, ip, name, service, zone, slots=6, work_s=0.02):
        self.record = record
        self.store = store
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.address = (ip, free_port(ip))
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.reaches_store = True
        self.running = 0
        self.arrivals = []  # (seconds, request id), but for those that got 421
        self.runs = []      # request ids in the order in which they began to run

    async def start(self, cold_s=0.0):
        self.server = await asyncio.start_server(self.serve, *self.address)
        self.warm_at = time.monotonic() + cold_s
        self.last_beat = time.monotonic()
        await self.beat()
        self.beats = asyncio.ensure_future(self.keep_beating())

    async def beat(self):
        self.sequence += 1
        self.last_beat = time.monotonic()
        await self.store.put("servers", self.name, {
            "service": self.service, "address": "%s:%d" % self.address, "zone": self.zone,
            "version": "1", "slots": self.slots, "state": self.state,
            "coldRemainingMs": max(0, int((self.warm_at - time.monotonic()) * 1000)),
            "sequence": self.sequence, "born": self.born})

    async def keep_beating(self):
        """Writes the entry; the store removes it after three intervals of silence."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.reaches_store:
                await self.beat()
            elif time.monotonic() - self.last_beat > MISSED_HEARTBEATS * HEARTBEAT_S:
                if self.name in self.store.objects["servers"]:
                    self.record.say(f"the store removes the entry of {self.name}")
                await self.store.remove("servers", self.name)

    def headers(self, request_id, body):
        return {"X-Request-Id": request_id, "X-Response-Seal": f"seal.{self.name}.{request_id}",
                "X-Instance-Id": self.name, "Content-Length": len(body)}

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers, body = await read_message(reader)
                expected = headers.get("x-expect-instance", "")
                if expected and expected != self.name:
                    writer.write(message("HTTP/1.1 421 Misdirected",
                                         {"X-Instance-Id": self.name, "Content-Length": 0}))
                    continue
                request_id = headers.get("x-request-id", "")
                self.arrivals.append((self.record.now(), request_id))
                self.record.line(f"arrived {request_id} at {self.name}")
                await self.answer(writer, request_id, headers, body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, writer, request_id, headers, body):
        await self.run(writer, request_id)

    async def run(self, writer, request_id):
        self.running += 1
        self.runs.append(request_id)
        self.record.line(f"ran {request_id} at {self.name}")
        await asyncio.sleep(self.work_s)
        self.running -= 1
        body = f"answer to {request_id}".encode()
        answer = message("HTTP/1.1 200 OK", self.headers(request_id, body), body)
        writer.write(answer)
        return answer

    def refusal(self, request_id, retry_after=None):
        """A refusal that says that the request has not run."""
        headers = {"X-Request-Id": request_id, "X-Not-Executed": "1", "X-Instance-Id": self.name,
                   "Content-Length": 0}
        if retry_after is not None:
            headers["Retry-After"] = retry_after
        return message("HTTP/1.1 503 Service Unavailable", headers)


class Rank:
    """One rank of a group: its maps, and the interface through which agents read and order."""

    def __init__(self, group, number, address, is_faulty):
        self.group = group
        self.number = number
        self.address = address
        self.is_faulty = is_faulty
        self.map = (0, group.first_map())
        self.prepared = None   # (version, map), once the copy is complete
        self.highest = 0
        self.armed = None      # (version, step)
        self.held = None
        self.counts = [0] * (group.SETS * group.EXPERTS)

    def report(self):
        group = self.group
        return {"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False, "sequence": 0, "waiting": 0, "running": 1, "kvUsed": 0,
                "kvTotal": 1000, "handles": 0, "pace": 1.0, "born": group.born,
                "group": {"name": group.name, "epoch": 1, "rank": self.number, "state": "open"},
                "size": len(group.ranks), "step": group.step, "map": self.map[0],
                "prepared": self.prepared[0] if self.prepared else None,
                "armed": ({"version": self.armed[0], "step": self.armed[1]}
                          if self.armed else None),
                "held": self.held}

    def picked(self, with_lists):
        if not with_lists:
            return {"step": self.group.step, "epoch": 1, "counts": self.counts}

        def lists(held):
            return {"version": held[0], "experts": [ranks[self.number] for ranks in held[1]]}
        return {"map": lists(self.map), "prepared": lists(self.prepared) if self.prepared else None}

    def carry_out(self, order):
        """Carries an order out and returns its status."""
        group, operation = self.group, order["operation"]
        step, version = order.get("step"), order.get("version")
        if order.get("epoch", 1) != 1:
            return 409
        if operation == "prepare":
            if version <= self.highest or self.armed:
                return 409
            self.highest = version
            loads = sum(len(set(new[self.number]) - set(old[self.number]))
                        for new, old in zip(order["map"], self.map[1]))
            self.prepared = None
            asyncio.get_running_loop().call_later(
                loads * group.LOAD_S, self.complete, (version, order["map"]))
            return 202
        if operation == "arm":
            if not self.prepared or self.prepared[0] != version or step <= group.step:
                return 409
            already, self.armed = self.armed == (version, step), (version, step)
            return 200 if already else 202
        if operation == "disarm":
            if self.map[0] == version:
                return 409
            if self.armed and self.armed[0] == version:
                self.armed = None
            return 202
        if operation == "hold":
            if step <= group.step or self.held not in (None, step):
                return 409
            self.held = step
            return 202
        if operation == "go":
            if self.held == step:
                self.held = None
            return 202
        return 400

    def complete(self, prepared):
        if prepared[0] == self.highest:
            self.prepared = prepared

    async def serve(self, reader, writer):
        copy = None  # The second copy of the last answer on this connection.
        try:
            while True:
                first, _, body = await read_message(reader)
                method, target, _ = first.split(" ")
                if copy is not None:
                    self.group.record.line(f"{self.group.name} rank {self.number}: second copy of "
                                           f"the last answer comes before that to {target}")
                    writer.write(copy)
                    copy = None
                if target == "/-/order":
                    status, answer = self.order(json.loads(body)), b""
                    if status is None:
                        await asyncio.sleep(60)  # The caller gets no answer on this connection.
                        continue
                else:
                    value = (self.report() if target.startswith("/-/report")
                             else self.picked("lists" in target))
                    status, answer = 200, json.dumps(value).encode()
                text = message(f"HTTP/1.1 {status} S", {"Content-Type": "application/json",
                                                        "Content-Length": len(answer)}, answer)
                writer.write(text)
                await writer.drain()
                if self.is_faulty and random.random() < self.group.extra_share:
                    copy = text
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def order(self, order):
        shown = {key: value for key, value in order.items() if key != "map"}
        if random.random() < self.group.late_share:
            delay = random.uniform(2, 12)
            self.group.record.line(f"{self.group.name} rank {self.number}: {shown} unanswered, "
                                   f"late by {delay:.1f} s")
            asyncio.get_running_loop().call_later(delay, self.carry_out_late, order, shown)
            return None
        status = self.carry_out(order)
        self.group.record.line(f"{self.group.name} rank {self.number}: {shown} answered {status}")
        return status

    def carry_out_late(self, order, shown):
        status = self.carry_out(order)
        self.group.record.line(f"{self.group.name} rank {self.number}: {shown} carried out late, {status}")


class Group:
    """A group of ranks in lock-step. Requests come all the time; their experts change."""

    SETS, EXPERTS, PLACES, SPARE = 2, 20, 6, 2
    STEP_S = 0.05
    LOAD_S = 0.03

    def __init__(self, record, name, addresses, faulty_share):
        self.record = record
        self.name = name
        self.born = int(time.time() * 1000)
        self.step = 1
        self.liked = 0
        self.extra_share = 0.0
        self.late_share = 0.0
        self.changes = 0
        self.splits = []
        self.ranks = []
        faulty = random.sample(range(len(addresses)), int(faulty_share * len(addresses)))
        self.size = len(addresses)
        for number, address in enumerate(addresses):
            self.ranks.append(Rank(self, number, address, number in faulty))

    def first_map(self):
        return [[[expert for expert in range(self.EXPERTS) if expert % self.size == rank]
                 for rank in range(self.size)] for _ in range(self.SETS)]

    def engine(self):
        return {"slots": 4, "sets": self.SETS, "experts": self.EXPERTS, "places": self.PLACES,
                "spare": self.SPARE, "expertMb": 10.0, "linkMbps": 10.0 * 8 / self.LOAD_S,
                "expertShare": 0.8}

    async def start(self):
        self.servers = [await asyncio.start_server(rank.serve, *rank.address)
                        for rank in self.ranks]
        self.passes = asyncio.ensure_future(self.make_passes())

    async def make_passes(self):
        while True:
            await asyncio.sleep(self.STEP_S)
            if not any(rank.held == self.step + 1 for rank in self.ranks):
                self.begin_pass()

    def begin_pass(self):
        self.step += 1
        changed = False
        for rank in self.ranks:
            if rank.armed and rank.armed[1] == self.step:
                rank.map, rank.prepared, rank.armed = rank.prepared, None, None
                changed = True
            for index in range(len(rank.counts)):
                liked = index % self.EXPERTS % self.size == self.liked
                rank.counts[index] += 4000 if liked else 100
        if changed:
            self.changes += 1
        versions = [rank.map[0] for rank in self.ranks]
        if len(set(versions)) > 1 or any(rank.map != self.ranks[0].map for rank in self.ranks):
            if not self.splits or changed:
                self.record.line(f"{self.name} pass {self.step} begins with maps {versions}")
            self.splits.append(self.step)


class RankAgent:
    """A rank agent's process, started as the deploy file says."""

    def __init__(self, deployment, number, ip, engine, service):
        self.deployment = deployment
        self.name = f"side-{number}"
        self.ip = ip
        self.engine = engine
        self.service = service
        self.process = None

    def settings(self):
        deployment = self.deployment
        return {"nodeName": self.name, "zone": "a", "ip": self.ip, "service": self.service,
                "app": "%s:%d" % self.engine, "internalPorts": [deployment.agent_port],
                "platform": {"address": "%s:%d" % deployment.store.address},
                "seedNodes": [f"{gateway.ip}:{deployment.ports['control']}"
                              for gateway in deployment.gateways[:3]]}

    def start(self):
        self.process = start_process(self.deployment, "rank-agent", self.name, self.settings())

    def kill(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.process = None


def start_process(deployment, role_name, name, settings):
    """Starts a role's program with settings filled in from its template."""
    command, template = role(role_name)
    path = os.path.join(deployment.folder, name + ".ini")
    with open(path, "w", encoding="utf-8") as file:
        file.write(render(template, settings))
    words = [f"--settings={path}" if word.startswith("--settings=") else word
             for word in command.split()]
    with open(os.path.join(deployment.folder, name + ".log"), "ab") as output:
        return subprocess.Popen(words, cwd=ROOT, stdout=output, stderr=subprocess.STDOUT,
                                start_new_session=True)


class Gateway:
    """A gateway process, started as the deploy file says, with settings from its template."""

    def __init__(self, deployment, number):
        self.deployment = deployment
        self.name = f"front-{number}"
        self.ip = f"{deployment.network}.{10 + number}"
        self.process = None

    def settings(self, first_start):
        ports = self.deployment.ports
        address = {key: f"{self.ip}:{port}" for key, port in ports.items()}
        return {"nodeName": self.name, "zone": "a", "ip": self.ip, "listen": address,
                "platform": {"address": "%s:%d" % self.deployment.store.address},
                "seedNodes": [f"{gateway.ip}:{ports['control']}"
                              for gateway in self.deployment.gateways[:3]],
                "bootstrap": first_start, "bounds": self.deployment.bounds}

    def start(self, first_start=True):
        self.process = start_process(self.deployment, "gateway", self.name,
                                     self.settings(first_start))

    def kill(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.process = None

    async def is_ready(self):
        status, _, _ = await get((self.ip, self.deployment.ports["ready"]), "/-/readiness")
        return status == 200


def role(name):
    """Returns the command and the text of the template of a role of the deploy file."""
    with open(os.path.join(ROOT, "deploy/system.toml"), encoding="utf-8") as file:
        section = file.read().split(f"[roles.{name}]")[1].split("[roles.")[0]
    value = dict(re.findall(r'^(\w+) = "(.*)"$', section, re.MULTILINE))
    with open(os.path.join(ROOT, value["template"]), encoding="utf-8") as file:
        return value["run"], file.read()


def render(template, values):
    """Fills in the platform's placeholders: values, and sections that are present or not."""
    def value(path):
        found = values
        for key in path.split("."):
            found = found[key] if isinstance(found, dict) else found[int(key)]
        return ",".join(found) if isinstance(found, list) else str(found)

    text = re.sub(r"\{\{#(\w+)\}\}\n?(.*?)\{\{/\1\}\}\n?",
                  lambda match: match[2] if values.get(match[1]) else "", template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: value(match[1]), text)


async def exchange(address, data, timeout):
    """Sends a request and returns (status, headers, body), with status 0 for no answer."""
    writer = None
    try:
        async def talk():
            nonlocal writer
            reader, writer = await asyncio.open_connection(*address)
            writer.write(data)
            first, headers, body = await read_message(reader)
            return int(first.split(" ")[1]), headers, body
        return await asyncio.wait_for(talk(), timeout)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.close()


async def get(address, target, timeout=1.0):
    return await exchange(address, message(f"GET {target} HTTP/1.1", {
        "Host": "%s:%d" % address, "Connection": "close"}), timeout)


class Deployment:
    """A small deployment: a store, replicas and gateways on addresses of its own."""

    def __init__(self, record, gateways):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="burdockhead-review-")
        self.network = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}"
        self.bounds = dict(BOUNDS)
        self.ports = {}
        first = f"{self.network}.11"
        for key in ("front", "ready", "directory", "control"):
            self.ports[key] = free_port(first)
        self.gateways = []
        for number in range(1, gateways + 1):
            self.gateways.append(Gateway(self, number))
        self.store = Store(record, f"{self.network}.1")
        self.replicas = []
        self.agents = []
        self.agent_port = free_port(f"{self.network}.101")
        self.requests = 0
        self.gateway_of = {}  # By request id: the name of the gateway that it was sent to.
        self.sent_at = {}     # By request id: when its requester sent it, in seconds.

    async def start(self, configuration):
        await self.store.start()
        await self.store.put("config", "main", configuration)
        for replica in self.replicas:
            await replica.start()
        for gateway in self.gateways:
            gateway.start()
        if not await self.wait_ready(self.gateways, 10):
            raise RuntimeError("the gateways aren't ready")

    async def wait_ready(self, gateways, timeout):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if all([await gateway.is_ready() for gateway in gateways]):
                return True
            await asyncio.sleep(0.1)
        return False

    async def send(self, gateway, method, path, deadline_ms=2500, key="key-1"):
        """Sends one request of a requester; returns its id, the status and the headers."""
        self.requests += 1
        request_id = f"{self.requests:016x}"
        self.gateway_of[request_id] = gateway.name
        self.sent_at[request_id] = self.record.now()
        self.record.line(f"sent {request_id} {method} {path} to {gateway.name}")
        body = b"" if method == "GET" else b"x" * 600
        headers = {"Host": "h.example", "X-Request-Id": request_id,
                   "X-Deadline-Ms": deadline_ms, "Authorization": f"Token {key}",
                   "Content-Length": len(body)}
        status, answered, _ = await exchange(
            (gateway.ip, self.ports["front"]), message(f"{method} {path} HTTP/1.1", headers, body),
            deadline_ms / 1000 + 1)
        self.record.line(f"answered {request_id} {status}")
        return request_id, status, answered

    def close(self):
        for process in self.gateways + self.agents:
            if process.process is not None:
                process.kill()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)


def configuration(routes, services, version=7, keys=("key-1",)):
    return {"version": version, "routes": routes, "services": services,
            "tenants": [{"name": "tenant-1", "apiKeys": list(keys), "priority": 1}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}


def route(name, kind, service, attempts, timeout_ms=2500):
    return {"name": name, "host": "h.example", "pathPrefix": f"/{name}/", "routeType": kind,
            "timeoutMs": timeout_ms, "goalMs": 150, "priority": 2, "service": service,
            "maxAttempts": attempts}


def service(name, cold_per_s=0.0, cold_start_s=0.0):
    return {"name": name, "healthPath": "/health", "maxConnections": 110,
            "coldPerS": cold_per_s, "coldStartS": cold_start_s}


def run(scenario, folder):
    """Runs a scenario and ends the process.

    The exit status is 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.
    """
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def whole():
        deployments = []
        try:
            broken = await asyncio.wait_for(scenario(record, trouble, deployments), 115)
            record.say("the rule was broken" if broken else "the rule held")
            status = 1 if broken else 0
        except Exception as error:  # Whatever it was, the case has shown nothing.
            record.say(f"the case couldn't run: {error!r}")
            status = 2
        for deployment in deployments:
            deployment.close()
        record.file.close()
        os._exit(status)  # Without waiting for the stand-ins' open connections.

    asyncio.run(whole())
