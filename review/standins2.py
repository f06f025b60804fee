"""Stand-ins of the platform, its store, replicas and requesters, for the scripts of cases 6 to 10.

Everything runs in one asyncio loop on loopback addresses. Each machine of a case has its own
address in 127.0.0.0/8, so that all machines can use the same ports. The programs under test are
separate processes, started with the commands of the deploy file and with settings that are rendered
from the project's templates.
"""

import asyncio
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
NETWORK = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
_next_host = 0
_processes = []

# The bounds of the installations' sheets.
BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "stabilityWindowMs": 3000, "ackTimeoutMs": 4000,
          "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
          "rollbackSlackMs": 250, "outerBoundMs": 5000, "retryBudgetRatio": 0.2,
          "budgetWindowS": 10, "retryBudgetBurst": 88, "coldBurstFactor": 1.5, "coldSlack": 5,
          "evacuateMs": 5000, "recoveryS": 12, "passMs": 120}


class CannotRun(Exception):
    """The case could not be set up; says nothing about the rule."""


class Record:
    """Writes record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def add(self, text):
        line = f"{time.monotonic() - self.start:8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()
        print(line, flush=True)


def new_host():
    """Returns a loopback address that no other machine of the case has."""
    global _next_host
    _next_host += 1
    return f"{NETWORK}.{_next_host}"


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


# -- Settings and processes


def _lookup(fields, name):
    value = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            return None
    return value


def render(template, fields):
    """Fills in a template as the deploy pages say, as far as the project's templates need it."""

    def section(match):
        return match.group(2) if _lookup(fields, match.group(1)) else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", section, template, flags=re.S)

    def value(match):
        found = _lookup(fields, match.group(1))
        if isinstance(found, list):
            return ",".join(str(item) for item in found)
        return "" if found is None else str(found)

    return re.sub(r"\{\{([\w.]+)\}\}", value, text)


class Program:
    """One program of the system: a role of the deploy file on one machine."""

    def __init__(self, role, fields, folder, template_path=None):
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            deploy = tomllib.load(file)["roles"][role]
        self.name = fields["nodeName"]
        self.settings = os.path.join(folder, self.name + ".settings")
        self.log = os.path.join(folder, self.name + ".log")
        self.template = os.path.join(ROOT, deploy["template"])
        self.fields = fields
        self.words = [word.replace("/etc/burdockhead/settings.json", self.settings)
                      for word in deploy["run"].split()]
        if not os.path.exists(os.path.join(ROOT, self.words[0])):
            raise CannotRun(self.words[0] + " is missing: build as the deploy file says")
        self.process = None
        self.write_settings()

    def write_settings(self):
        with open(self.template, encoding="utf-8") as file:
            text = render(file.read(), self.fields)
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)

    def start(self):
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                self.words, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env={"PATH": os.environ["PATH"], "BURDOCKHEAD_CONFIG": self.settings})
        _processes.append(self.process)

    def send(self, number):
        self.process.send_signal(number)

    def running(self):
        return self.process.poll() is None

    def resident_mb(self):
        """Returns the memory that the process has in use, as the platform sees it."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0


def end_processes():
    for process in _processes:
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
            process.kill()
    for process in _processes:
        process.wait()


def gateway_fields(name, store, seeds, zone="zone-a", bootstrap=True):
    """Returns the settings of a 'front' machine with an address of its own."""
    host = new_host()
    ports = {"front": 8227, "ready": 8220, "control": 8229, "directory": 8224}
    fields = {"nodeName": name, "zone": zone, "ip": host, "bootstrap": bootstrap,
              "listen": {role: f"{host}:{port}" for role, port in ports.items()},
              "internalPorts": [7340, 7355], "seedNodes": seeds, "bounds": dict(BOUNDS),
              "platform": {"address": store}}
    return fields


# -- HTTP


async def read_head(reader):
    """Returns the first line and the headers, in lower case, of a message; none at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


def message(first_line, headers, body=b""):
    text = first_line + "\r\n" + "".join(f"{name}: {value}\r\n" for name, value in headers)
    return text.encode("latin-1") + b"\r\n" + body


async def serve(host, port, on_connection, **options):
    async def guarded(reader, writer):
        try:
            await on_connection(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            try:
                writer.close()
            except RuntimeError:  # The loop has ended.
                pass
    return await asyncio.start_server(guarded, host, port, limit=65536, **options)


class Store:
    """The platform's store: objects by kind and name, lists and watches."""

    def __init__(self):
        self.host = new_host()
        self.port = 8223
        self.address = f"{self.host}:{self.port}"
        self.objects = {}
        self.history = []
        self.revision = 100
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await serve(self.host, self.port, self.on_connection)

    def _note(self, kind, name, removed, spec):
        self.revision += 1
        item = {"metadata": {"name": name, "revision": self.revision, "createdRev": self.revision,
                             "finalizers": [], "deleting": False}, "spec": spec, "status": None}
        self.history.append((self.revision, kind, {"removed": removed, "object": item}))
        if removed:
            self.objects[kind].pop(name)
        else:
            self.objects.setdefault(kind, {})[name] = item
        self.changed.set()
        self.changed = asyncio.Event()
        return item

    def put(self, kind, name, spec):
        return self._note(kind, name, False, spec)

    def remove(self, kind, name):
        if name in self.objects.get(kind, {}):
            self._note(kind, name, True, self.objects[kind][name]["spec"])

    async def on_connection(self, reader, writer):
        while head := await read_head(reader):
            first_line, headers = head
            method, target, _ = first_line.split(" ")
            body = await reader.readexactly(int(headers.get("content-length", "0")))
            status, answer = await self.answer(method, target, body)
            writer.write(message(f"HTTP/1.1 {status} X",
                                 [("Content-Type", "application/json"),
                                  ("Content-Length", len(answer))], answer))
            await writer.drain()

    async def answer(self, method, target, body):
        path, _, query = target.partition("?")
        parts = path.strip("/").split("/")  # -, objects, KIND[, NAME]
        if parts[:2] != ["-", "objects"] or len(parts) < 3:
            return 404, b"{}"
        kind = parts[2]
        values = dict(item.partition("=")[::2] for item in query.split("&") if item)
        if method == "GET" and "watch" in values:
            return await self.watch(kind, int(values["watch"]), int(values.get("waitMs", "0")))
        if method == "GET":
            items = [self.objects.get(kind, {})[name]
                     for name in sorted(self.objects.get(kind, {}))]
            return 200, json.dumps({"items": items, "hasMore": False,
                                    "asOf": self.revision}).encode()
        name = parts[3] if len(parts) > 3 else json.loads(body)["metadata"]["name"]
        exists = name in self.objects.get(kind, {})
        if method == "POST" and exists:
            return 409, json.dumps(self.objects[kind][name]).encode()
        if method != "POST" and not exists:
            return 404, b"{}"
        if method == "DELETE":
            self.remove(kind, name)
            return 200, b"{}"
        return 200, json.dumps(self.put(kind, name, json.loads(body)["spec"])).encode()

    async def watch(self, kind, after, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            events = [event for revision, of, event in self.history
                      if revision > after and of == kind]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, json.dumps({"events": events, "asOf": self.revision}).encode()
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Replica:
    """A sound replica: reads the whole request, works, and answers with its seal.

    `answer(request)` returns the body. `slots` requests run at a time, further ones wait."""

    def __init__(self, record, name, service, slots, work_s, answer, zone="zone-a"):
        self.record = record
        self.name = name
        self.service = service
        self.slots = slots
        self.work_s = work_s
        self.answer = answer
        self.zone = zone
        self.host = new_host()
        self.port = 8120
        self.runs = {}
        self.places = asyncio.Semaphore(slots)

    def entry(self, state="ready"):
        return {"service": self.service, "address": f"{self.host}:{self.port}", "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": state, "coldRemainingMs": 0,
                "sequence": 1, "born": int(time.time() * 1000)}

    async def start(self):
        self.server = await serve(self.host, self.port, self.on_connection)

    async def on_connection(self, reader, writer):
        while head := await read_head(reader):
            first_line, headers = head
            body = await reader.readexactly(int(headers.get("content-length", "0")))
            if first_line.split(" ")[1] == "/health":
                writer.write(message("HTTP/1.1 200 OK", [("X-Instance-Id", self.name),
                                                         ("Content-Length", 0)]))
                continue
            request = headers.get("x-request-id", "")
            if headers.get("x-expect-instance", self.name) != self.name:
                writer.write(message("HTTP/1.1 421 Misdirected Request",
                                     [("X-Instance-Id", self.name), ("Content-Length", 0)]))
                continue
            async with self.places:
                self.runs[request] = self.runs.get(request, 0) + 1
                self.record.add(f"run      {request} at {self.name}, {len(body)} bytes")
                await asyncio.sleep(self.work_s)
                content = self.answer(request)
            writer.write(message("HTTP/1.1 200 OK",
                                 [("X-Request-Id", request),
                                  ("X-Response-Seal", f"seal.{self.name}.{request}"),
                                  ("Content-Length", len(content))], content))
            await writer.drain()


def route(name, prefix, kind, service, timeout_ms, attempts):
    return {"name": name, "host": "case.example", "pathPrefix": prefix, "routeType": kind,
            "timeoutMs": timeout_ms, "goalMs": 1000, "priority": 1, "service": service,
            "maxAttempts": attempts, "public": False}


def configuration(routes, services, max_body=4194304):
    return {"version": 7, "routes": routes,
            "services": [{"name": name, "healthPath": "/health", "maxConnections": 400,
                          "protocol": "h1", "tls": False, "coldStartS": 0.0, "coldPerS": 0.0}
                         for name in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": max_body,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": "tenant-1", "apiKeys": ["key-1"], "priority": 1}]}


def request_head(method, path, request_id, deadline_ms, length):
    return message(f"{method} {path} HTTP/1.1",
                   [("Host", "case.example"), ("X-Request-Id", request_id),
                    ("X-Deadline-Ms", deadline_ms), ("Authorization", "Token key-1"),
                    ("Content-Length", length)])


async def get(address, path):
    """Returns the status and the body of a GET, or 0."""
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
        writer.write(message(f"GET {path} HTTP/1.1", [("Host", address)]))
        head = await asyncio.wait_for(read_head(reader), 1)
        if head is None:
            return 0, b""
        length = int(head[1].get("content-length", "0"))
        return int(head[0].split(" ")[1]), await asyncio.wait_for(reader.readexactly(length), 1)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0, b""
    finally:
        if writer:
            writer.close()


async def until_ready(gateways, limit_s=15):
    end = time.monotonic() + limit_s
    for gateway in gateways:
        while (await get(gateway.fields["listen"]["ready"], "/-/readiness"))[0] != 200:
            if time.monotonic() > end:
                raise CannotRun(gateway.name + " is not ready")
            await asyncio.sleep(0.1)


def run_case(case, folder):
    """Runs a case; exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    record = Record(folder)
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    code = 2
    with tempfile.TemporaryDirectory(prefix="case-") as temporary:
        try:
            code = 1 if asyncio.run(case(record, temporary, with_trouble)) else 0
        except CannotRun as error:
            record.add(f"cannot run: {error}")
        except Exception:  # A fault of the script says nothing about the rule.
            record.add("cannot run: " + traceback.format_exc())
        finally:
            end_processes()
    record.add(f"exit code {code}")
    sys.exit(code)
