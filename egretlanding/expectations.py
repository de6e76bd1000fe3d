"""The completion of a call that is expected at a target, from its reports.

A report is about the past: the number of calls at a target changes within the
time of a call, its speed more slowly. Both lose weight with age.
"""

import math

import attrs

from egretlanding.usualtimes import UsualTimes

# Time constant with which reported calls lose weight, in usual run times.
LOAD_DECAY_RUNS = 2
# The shortest one, seconds.
MIN_LOAD_DECAY_S = 0.05
# Time constant with which a reported speed returns to 1, seconds.
REPORTED_SPEED_DECAY_S = 10
# Weight of a new sample in the average occupancy and run time.
SAMPLE_WEIGHT = 0.05
# A call in flight for this multiple of its usual time shows that the target is
# stuck, whatever it reported. A long tail takes up to 7 times as long at few.
STUCK_RATIO = 3


@attrs.frozen
class ReportedCapacity:
    """What a target's daemon last reported.

    Attributes:
        limit: Calls that the target takes well at a time.
        speed: Its speed, 1 is usual.
        load: Calls that ran or were queued.
        reported: When the report arrived, seconds.
    """

    limit: int
    speed: float
    load: int
    reported: float

    def current_speed(self, now: float) -> float:
        """Returns the speed, which returns to 1 as the report ages."""
        weight = math.exp((self.reported - now) / REPORTED_SPEED_DECAY_S)
        return float(self.speed**weight)


@attrs.define
class Expectations:
    """What an ingress daemon expects of the targets of one service.

    Attributes:
        usual: Usual run times over all targets, by route.
        mean_run_s: Mean run time over all routes, seconds.
        occupancy: Mean of load over limit in the reports.
    """

    usual: UsualTimes = attrs.field(factory=UsualTimes)
    mean_run_s: float = 0
    occupancy: float = 0.5

    def observe(
        self, route: str, run_s: float, report: ReportedCapacity
    ) -> None:
        """Learns from an answer.

        Args:
            route: Name of the route.
            run_s: Time that the target took, seconds.
            report: The report that came with the answer.
        """
        self.usual.observe(route, run_s)
        previous_s = self.mean_run_s or run_s
        self.mean_run_s = previous_s + SAMPLE_WEIGHT * (run_s - previous_s)
        occupancy = report.load / report.limit
        self.occupancy += SAMPLE_WEIGHT * (occupancy - self.occupancy)

    def load(self, report: ReportedCapacity, now: float) -> float:
        """Returns the calls at a target, by a report and its age."""
        decay_s = max(MIN_LOAD_DECAY_S, LOAD_DECAY_RUNS * self.mean_run_s)
        usual_load = self.occupancy * report.limit
        weight = math.exp((report.reported - now) / decay_s)
        return usual_load + weight * (report.load - usual_load)

    def completion_s(
        self, route: str, report: ReportedCapacity, sent: int, now: float
    ) -> float:
        """Returns how long a call is expected to wait and run, seconds.

        Args:
            route: Name of the route.
            report: What the target's daemon last reported.
            sent: Calls that this daemon sent since then.
            now: Monotonic time, seconds.
        """
        speed = report.current_speed(now)
        run_s = self.usual.usual_s(route) or self.mean_run_s
        occupancy = (self.load(report, now) + sent) / report.limit
        # A call waits until one of the calls ends if all slots are taken. With
        # fewer calls on average, that still happens at times.
        turns = min(1, occupancy) ** report.limit / report.limit
        turns += max(0, occupancy - 1)
        return (run_s + turns * self.mean_run_s) / speed
