"""Parses durations in settings and records: a number and a unit."""

import functools
from decimal import Decimal, InvalidOperation

MS_PER_UNIT = {'ms': 1, 's': 1_000}
# A configuration uses a few different durations in hundreds of routes.
DURATION_CACHE_SIZE = 256


@functools.lru_cache(maxsize=DURATION_CACHE_SIZE)
def milliseconds(text: str) -> int:
    """Returns a duration in whole milliseconds.

    Args:
        text: The duration, such as `1500ms` or `2.5s`.

    Raises:
        ValueError: The text isn't a duration.
    """
    unit = 'ms' if text.endswith('ms') else 's'
    try:
        return int(Decimal(text.removesuffix(unit)) * MS_PER_UNIT[unit])
    except InvalidOperation as error:
        raise ValueError(
            f'{text!r} is not a duration; write it like 1500ms or 2.5s'
        ) from error
