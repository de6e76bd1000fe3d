"""Starts the fault proxy as a process and controls it over HTTP."""

import subprocess
from typing import Any

import attrs
import msgspec

from standins.faults import LOOPBACK, LinkRequest, LinkRule
from standins.fleet import (
    free_port,
    send_request,
    start_module,
    stop_process,
    wait_until,
)


@attrs.define(eq=False)
class FaultProxy:
    """A fault proxy that runs as a process.

    Attributes:
        control_port: Port of its HTTP interface.
        process: Its process.
        ports: The listening ports by name of the link.
    """

    control_port: int
    process: subprocess.Popen[bytes]
    ports: dict[str, int] = attrs.field(factory=dict)

    @classmethod
    def start(cls) -> 'FaultProxy':
        """Starts a proxy without links."""
        port = free_port()
        process = start_module(
            'standins', 'faultproxy', '--control-port', str(port)
        )
        wait_until(lambda: send_request(port, 'GET', '/links'))
        return cls(port, process)

    def counters(self) -> Any:
        """Returns the bytes to the server and to clients by link."""
        return send_request(self.control_port, 'GET', '/links').json()

    def add_link(self, name: str, port: int, address: str = LOOPBACK) -> int:
        """Opens a link to a port and returns the port that it listens on."""
        spec = LinkRequest(name=name, target_port=port, target_address=address)
        return self.open_link(spec)

    def open_link(self, spec: LinkRequest) -> int:
        """Opens a link and returns the port that it listens on."""
        body = msgspec.json.encode(spec)
        answer = send_request(self.control_port, 'POST', '/links', body)
        self.ports[spec.name] = int(answer.body)
        return self.ports[spec.name]

    def set_rules(self, name: str, *rules: LinkRule) -> None:
        """Replaces the rules of a link; without rules it has no faults."""
        body = msgspec.json.encode(rules)
        send_request(self.control_port, 'PUT', f'/links/{name}/rules', body)

    def close(self) -> None:
        """Stops the proxy."""
        self.process.terminate()
        stop_process(self.process)
