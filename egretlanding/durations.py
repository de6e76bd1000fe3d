"""Times as settings and records write them: a number and its unit."""

import functools
from decimal import Decimal, InvalidOperation

MS_PER_UNIT = {'ms': 1, 's': 1_000}
# A configuration repeats a few durations in hundreds of routes.
DURATIONS_KEPT = 256


@functools.lru_cache(maxsize=DURATIONS_KEPT)
def milliseconds(text: str) -> int:
    """Returns a time in whole milliseconds.

    Args:
        text: Such as `1500ms` or `2.5s`.

    Raises:
        ValueError: The text is no time.
    """
    unit = 'ms' if text.endswith('ms') else 's'
    try:
        return int(Decimal(text.removesuffix(unit)) * MS_PER_UNIT[unit])
    except InvalidOperation as error:
        raise ValueError(
            f'{text!r} is no time; write 1500ms or 2.5s'
        ) from error
