"""Serves the calls that other daemons send for the local target."""

from collections.abc import Callable

import attrs
import msgspec

from egretlanding.egress import Egress
from egretlanding.frames import CallReply, CallRequest
from egretlanding.peers import PeerConnection


@attrs.define(eq=False)
class PeerServer:
    """Runs calls of other daemons and sends the replies back.

    Attributes:
        egress: Runs calls at the local target.
        late_s: Returns how long arriving bytes may have waited, seconds.
    """

    egress: Egress
    late_s: Callable[[], float]

    def take_call(self, connection: PeerConnection, call: CallRequest) -> None:
        """Runs a call; its reply goes back on the same connection."""
        replied = False

        def on_reply(reply: CallReply) -> None:
            nonlocal replied
            replied = True
            connection.served.pop(call.call_id, None)
            connection.send(
                msgspec.structs.replace(reply, call_id=call.call_id),
            )

        ticket = self.egress.run(call, self.late_s(), on_reply)
        if not replied:
            connection.served[call.call_id] = ticket

    def take_cancel(self, connection: PeerConnection, call_id: int) -> None:
        """Abandons a call."""
        ticket = connection.served.pop(call_id, None)
        if ticket is not None:
            self.egress.cancel(ticket)

    def take_close(self, connection: PeerConnection) -> None:
        """Abandons the calls of a connection that is gone."""
        for call_id in tuple(connection.served):
            self.take_cancel(connection, call_id)
