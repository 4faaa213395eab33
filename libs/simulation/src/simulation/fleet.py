"""A fleet of real processes on one machine.

The harness is the only thing here that starts processes.  Ports are free ones
picked at start, held until the fleet stops, so a process comes back where it was.
"""

import json
import os
import secrets
import shutil
import signal
import socket
import subprocess
import sys
from pathlib import Path

from routing import engine_calls
from routing.engine_api import EngineRequest, read_json

from simulation import deployments
from simulation.polling import poll_until
from simulation.relay import Relay

__all__ = ["Fleet", "free_ports"]

_POLL_PAUSE_S = 0.02
# Ports of servers.  Those that the system gives to outgoing connections lie above them, so that
# none of these takes a port between its choice and the start of its server.
_SERVER_PORTS = range(10_000, 32_000)


def hold_ports(count):
    """Sockets bound and not listening: a server that reuses addresses can listen
    on their ports, and nobody is given them as free ones until they are closed."""
    held = []
    while len(held) < count:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(("127.0.0.1", secrets.choice(_SERVER_PORTS)))
        except OSError:
            sock.close()
        else:
            held.append(sock)
    return held


def free_ports(count):
    held = hold_ports(count)
    ports = [s.getsockname()[1] for s in held]
    for s in held:
        s.close()
    return ports


class Fleet:
    """Starts, kills and asks processes; `call` and `until` are what tests use."""

    def __init__(self, deployment, folder, **config):
        self.deployment, self.folder = deployment, Path(folder).resolve()
        self.config = config
        self.folder.mkdir(parents=True, exist_ok=True)
        d = deployment
        self.depots = [f"d{i}" for i in range(d.depots)]
        self.counters = [f"c{i}" for i in range(d.counters)]
        self.engines = [f"e{i}" for i in range(d.engines)] + [
            f"p{i}" for i in range(d.plain_engines)
        ]
        nodes = self.depots + self.counters
        self._held = []
        ports = self._ports(2 * len(nodes) + len(self.engines))
        self.address = {n: f"127.0.0.1:{ports[2 * i]}" for i, n in enumerate(nodes)}
        self.http = {n: f"127.0.0.1:{ports[2 * i + 1]}" for i, n in enumerate(nodes)}
        self.engine_port = dict(zip(self.engines, ports[2 * len(nodes) :]))
        self.engine_words, self.jumping = [], False
        self.running = {}
        self.relays = {}

    def _ports(self, count):
        """Ports that stay this fleet's until it is stopped."""
        held = hold_ports(count)
        self._held += held
        return [s.getsockname()[1] for s in held]

    def zone(self, name):
        zones = self.deployment.zones
        return zones[int(name[1:]) % len(zones)]

    def seeds(self):
        return [self.address["d0"], self.address["d1"], self.address["c0"]]

    def start(self, name):
        log = open(self.folder / f"{name}.log", "ab")
        if name in self.engine_port:
            command = [
                sys.executable,
                "-m",
                "simulation.cli",
                "engine",
                name,
                str(self.engine_port[name]),
                self.deployment.name,
                "--history",
                str(self.folder / f"{name}.history"),
                *self.engine_words,
            ]
        else:
            role = "depot" if name in self.depots else "counter"
            program = "simulation.jumping" if self.jumping else "pulleyhitch"
            command = [
                sys.executable,
                "-m",
                program,
                role,
                "--config",
                self._config_file(name, role),
            ]
        self.running[name] = subprocess.Popen(
            command,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )
        log.close()

    def relay(self, name):
        """Put a relay before a process that is not started yet."""
        self.relays[name] = Relay(self.address[name], f"127.0.0.1:{self._ports(1)[0]}")
        return self.relays[name]

    def wipe(self, name):
        """An empty machine of the same name, at another address."""
        shutil.rmtree(self.folder / f"{name}.data")
        self.address[name] = f"127.0.0.1:{self._ports(1)[0]}"

    def add_depot(self, name):
        """Start one more depot, with an empty disk."""
        address, http = self._ports(2)
        self.address[name], self.http[name] = f"127.0.0.1:{address}", f"127.0.0.1:{http}"
        self.depots.append(name)
        self.start(name)

    def _config_file(self, name, role):
        """Write the process's config, as an operator would."""
        told = {
            "name": name,
            "zone": self.zone(name),
            "address": self.address[name],
            "http": self.http[name],
            "seeds": self.seeds(),
            "zones": list(self.deployment.zones),
            **self.config,
        }
        if name in self.relays:
            told["listen"] = self.relays[name].target
        if role == "depot":
            told["folder"] = str(self.folder / f"{name}.data")
        tables = {k: v for k, v in told.items() if isinstance(v, dict)}
        lines = [f"{k} = {json.dumps(v)}" for k, v in told.items() if k not in tables]
        for table, inner in tables.items():
            lines += [f"[{table}]"] + [f"{k} = {json.dumps(v)}" for k, v in inner.items()]
        path = self.folder / f"{name}.toml"
        path.write_text("\n".join(lines) + "\n", encoding="utf8")
        return str(path)

    def start_all(self):
        for name in self.depots + self.counters + self.engines:
            self.start(name)

    def kill(self, name, number=signal.SIGKILL):
        process = self.running.pop(name)
        process.send_signal(number)
        return process.wait(20)

    def freeze(self, name):
        self.running[name].send_signal(signal.SIGSTOP)

    def thaw(self, name):
        self.running[name].send_signal(signal.SIGCONT)

    def stop_all(self):
        for process in self.running.values():
            process.send_signal(signal.SIGCONT)
            process.terminate()
        for process in self.running.values():
            try:
                process.wait(8)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.running.clear()
        for relay in self.relays.values():
            relay.close()
        for sock in self._held:
            sock.close()

    def call(self, name, method, path, body=None, headers=(), timeout_ms=20000):
        """(status, JSON body) from a node or an engine; 0 if none came."""
        host = (
            f"127.0.0.1:{self.engine_port[name]}" if name in self.engine_port else self.http[name]
        )
        data = json.dumps(body).encode() if body is not None else b""
        ended = engine_calls.call(
            EngineRequest(method, f"http://{host}{path}", data), timeout_ms, headers=list(headers)
        )
        return ended.code, (read_json(ended.data) if ended.data else None) or {}

    def until(self, what, limit_s=60.0):
        """Ask again and again until `what()` is true; its value, or a failure."""
        return poll_until(what, limit_s, _POLL_PAUSE_S)

    def listening(self):
        """Wait until every process of ours that was started answers."""
        for name in [n for n in self.running if n not in self.engine_port]:
            self.until(lambda n=name: self.call(n, "GET", "/operator/believes")[0] == 200)

    def furnish(self, node="c0", others=()):
        """Tell the platform's engine list and the partners' layout to a node."""
        d = self.deployment
        self.listening()
        engines = deployments.engine_list(
            d, lambda n: "http://" + dict(others).get(n, f"127.0.0.1:{self.engine_port[n]}")
        )
        self.until(
            lambda: self.call(node, "POST", "/operator/engines", {"engines": engines})[0] == 200
        )
        for partner, section in deployments.sections(d):
            code, body = self.call(
                node,
                "POST",
                "/operator/layout",
                {"partner": partner, "section": section},
                [f"X-Partner: {partner}"],
            )
            if code != 200:
                raise RuntimeError(f"layout refused: {code} {body}")
        return body["stamp"]
