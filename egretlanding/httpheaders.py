"""Rules on the HTTP headers that belong to one connection."""

from egretlanding.frames import Headers

HOP_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    ),
)
LENGTH = 'content-length'
ENCODING = 'transfer-encoding'
CHUNKED = 'chunked'


def header_values(headers: Headers, wanted: str) -> list[str]:
    """Returns all values of a header, named in lower case."""
    return [value for name, value in headers if name == wanted]


def drop_hop_headers(headers: Headers) -> Headers:
    """Returns the headers that go on to the next connection.

    Headers that the connection header lists stay behind as well. The length
    stays, since callers of HEAD ask for it.
    """
    listed = {
        name.strip().lower()
        for value in header_values(headers, 'connection')
        for name in value.split(',')
    }
    dropped = (HOP_HEADERS | listed) - {LENGTH}
    return [pair for pair in headers if pair[0] not in dropped]


def has_safe_framing(headers: Headers) -> bool:
    """Tells whether two readers would agree on where a message ends."""
    lengths = header_values(headers, LENGTH)
    encodings = header_values(headers, ENCODING)
    if len(lengths) > 1 or len(encodings) > 1 or (lengths and encodings):
        return False
    if any(encoding.lower() != CHUNKED for encoding in encodings):
        return False
    return all(text.isascii() and text.isdigit() for text in lengths)


def has_one_length(headers: Headers) -> bool:
    """Tells whether a message says, once, where it ends."""
    framed = header_values(headers, LENGTH) or header_values(headers, ENCODING)
    return bool(framed) and has_safe_framing(headers)


def keep_time(found: list[str], default: float) -> float:
    """Returns how long the other side keeps an idle connection, seconds.

    Args:
        found: The values of the keep-alive header.
        default: The time if the header doesn't say.
    """
    fields = (
        field.strip().lower().partition('=')
        for value in found
        for field in value.split(',')
    )
    times = (
        int(text)
        for name, _, text in fields
        if name == 'timeout' and text.isascii() and text.isdigit()
    )
    return next(times, default)
