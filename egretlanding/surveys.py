"""Asks a few targets how soon they could answer, before a call is sent.

An ingress daemon of a large fleet sends each target too few calls to know its
load. The daemons beside the targets know it, so a few of them are asked.
"""

from collections.abc import Callable, Sequence
from functools import partial
from typing import Any

import attrs

from egretlanding.egress import Egress, answer_ping
from egretlanding.evidence import TargetEvidence
from egretlanding.frames import Ping, Pong
from egretlanding.hosts import Host
from egretlanding.peerlinks import PeerLinks
from egretlanding.targets import TargetTable, record_delay

# Longest time that a call waits for replies, seconds.
SURVEY_TIMEOUT_S = 0.03
# Replies after which the others aren't awaited.
ENOUGH_REPLIES = 3


@attrs.define(eq=False)
class Survey:
    """Waits for the replies of a few daemons.

    Attributes:
        on_end: Called once, when enough replies or none are to be expected;
            None afterwards.
        unanswered: Number of replies that may still come.
        replies: Number of replies.
        timer: Ends the survey without further replies.
    """

    on_end: Callable[[], None] | None
    unanswered: int
    replies: int = 0
    timer: Any = None

    def record_reply(self) -> None:
        """Counts a reply, and ends the survey if it was the last needed."""
        self.replies += 1
        if self.replies >= ENOUGH_REPLIES:
            self.end()
        else:
            self.skip()

    def skip(self) -> None:
        """Expects one reply less, and ends the survey if none is left."""
        self.unanswered -= 1
        if not self.unanswered:
            self.end()

    def end(self) -> None:
        """Ends the survey unless it has ended."""
        on_end = self.on_end
        self.on_end = None
        if self.timer and self.timer.active():
            self.timer.cancel()
        if on_end:
            on_end()


@attrs.define(eq=False)
class Surveyor:
    """Asks the daemons beside targets.

    Attributes:
        reactor: The reactor.
        links: Connections to other daemons.
        host_id: Id of this daemon's host.
        egress: Answers for the target beside this daemon.
    """

    reactor: Any
    links: PeerLinks
    host_id: str
    egress: Egress

    def ask(
        self,
        targets: TargetTable,
        sample: Sequence[TargetEvidence],
        question: Ping,
        on_end: Callable[[], None],
    ) -> None:
        """Asks some targets how soon they could answer a call.

        Args:
            targets: The targets of the service, which record the replies.
            sample: The targets to ask.
            question: What they are asked, without a number.
            on_end: Called once when the replies are there or late, possibly
                before this returns.
        """
        survey = Survey(on_end, len(sample))
        for target in sample:
            host = target.host
            on_pong = partial(
                self.record, survey, targets, host, question.route
            )
            if host.host_id == self.host_id:
                on_pong(answer_ping(self.egress, question))
            elif not self.links.ask(host, question, on_pong):
                survey.skip()
        if survey.on_end:
            survey.timer = self.reactor.callLater(SURVEY_TIMEOUT_S, survey.end)

    def record(
        self,
        survey: Survey,
        targets: TargetTable,
        host: Host,
        route: str,
        pong: Pong,
    ) -> None:
        """Records what the daemon of a host replied."""
        now = self.reactor.seconds()
        record_delay(targets, host.host_id, route, pong, now)
        survey.record_reply()
