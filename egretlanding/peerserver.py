"""Serves calls that other daemons send for the local target."""

from collections.abc import Callable

import attrs
import msgspec

from egretlanding.callfailures import failed_reply
from egretlanding.containment import log_unexpected
from egretlanding.egress import Egress
from egretlanding.frames import CallReply, CallRequest, refusal_reply
from egretlanding.outcomes import Reason, Refusal
from egretlanding.peers import PeerConnection


@attrs.define(eq=False)
class PeerServer:
    """Runs calls from other daemons and sends the replies back.

    Attributes:
        egress: Runs calls at the local target.
        read_delay_s: Returns how long received bytes may have waited before
            they were read, seconds.
    """

    egress: Egress
    read_delay_s: Callable[[], float]

    def on_call(self, connection: PeerConnection, call: CallRequest) -> None:
        """Runs a call and sends its reply on the same connection."""
        if not connection.share.admit(call.call_id, len(call.body)):
            refusal = Refusal.not_run(Reason.MEMORY, 'too many bytes are held')
            connection.send(refusal_reply(call.call_id, refusal))
            return
        replied = False

        def on_reply(reply: CallReply) -> None:
            nonlocal replied
            replied = True
            connection.served.pop(call.call_id, None)
            connection.share.release(call.call_id)
            connection.send(
                msgspec.structs.replace(reply, call_id=call.call_id),
            )

        try:
            ticket = self.egress.run(call, self.read_delay_s(), on_reply)
        except Exception as error:
            log_unexpected('call of another daemon', error)
            on_reply(failed_reply())
            return
        if not replied:
            connection.served[call.call_id] = ticket

    def on_cancel(self, connection: PeerConnection, call_id: int) -> None:
        """Cancels a call that the other daemon abandoned."""
        ticket = connection.served.pop(call_id, None)
        connection.share.release(call_id)
        if ticket is not None:
            self.egress.cancel(ticket)

    def on_close(self, connection: PeerConnection) -> None:
        """Cancels the calls of a connection that was closed."""
        for call_id in tuple(connection.served):
            self.on_cancel(connection, call_id)
