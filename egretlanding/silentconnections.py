"""Connections on which a daemon fell silent while calls are in flight."""

import attrs

from egretlanding.peers import PeerConnection


@attrs.define(eq=False)
class SilentConnections:
    """Connections that carry no new calls, until their last call has ended.

    A silent daemon may only be busy. Its replies are still awaited, while new
    calls wait for the hello on another connection.

    Attributes:
        connections: The connections that were set aside and are open.
    """

    connections: list[PeerConnection] = attrs.field(factory=list)

    def add(self, connection: PeerConnection) -> None:
        """Sets a connection aside."""
        self.connections.append(connection)

    def check_heartbeats(self) -> None:
        """Closes those without calls or silent for too long; pings the rest."""
        for connection in self.connections:
            if connection.is_idle():
                connection.abort()
            elif connection.is_open():
                connection.check_heartbeat()
        still_open = filter(PeerConnection.is_open, self.connections)
        self.connections = list(still_open)

    def reset_heartbeats(self) -> None:
        """Restarts the heartbeats after a pause of this process."""
        for connection in self.connections:
            connection.reset_heartbeat()

    def end_unreachable(self) -> None:
        """Closes those that are still silent, since the daemon is unreachable.

        The calls on them fail early enough for their callers to be answered.
        """
        for connection in self.connections:
            if connection.silent_intervals:
                connection.abort()

    def end_other_incarnations(self, incarnation: int) -> None:
        """Closes those to an earlier process of the daemon.

        Args:
            incarnation: The start time of the process that has said hello, ns
                since the epoch.
        """
        for connection in self.connections:
            if connection.peer and connection.peer.incarnation != incarnation:
                connection.abort()

    def close(self) -> None:
        """Closes all of them at once."""
        for connection in self.connections:
            connection.abort()
