"""The HTTP headers, paths and keys of the platform."""

from egretlanding.dialect import Dialect

DIALECT = Dialect(
    caller_deadline='deadline-ms',
    target_deadline='deadline-ms',
    target_call='',
    not_run='not-run',
    request_id='request-id',
    # The service of the host where the request began.
    origin='caller',
    required_instance='expect-instance',
    seal='server-stamp',
    rate_limit='server-limit',
    leaving='server-leaving',
    cold_ms='cold-ms',
    instance='instance',
    forward_call_headers=False,
    sends_reason_headers=False,
    status_shows_execution=True,
)
READINESS_PATH = '/-/readiness'
CONFIG_KEY = 'op/config'
ENTRY_PREFIX = 'servers/'
EVACUATION_PREFIX = 'op/evacuate/'
# All that operators write: the configuration and evacuations.
OPERATOR_PREFIX = 'op/'
ITEM_LIST_PATH = '/-/kv-range'
# Rises by one each time the store comes back from an older copy.
ERA_HEADER = 'store-era'
WATCH_PATH = '/-/kv-watch'
