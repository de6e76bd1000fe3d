"""Rules on hop-by-hop and framing headers of HTTP."""

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
    """Returns the headers without the hop-by-hop headers.

    Those that the connection header lists are removed as well. The length is
    kept, since the response to HEAD needs it.
    """
    listed = {
        name.strip().lower()
        for value in header_values(headers, 'connection')
        for name in value.split(',')
    }
    dropped = (HOP_HEADERS | listed) - {LENGTH}
    return [pair for pair in headers if pair[0] not in dropped]


def has_safe_framing(headers: Headers) -> bool:
    """Returns whether all parsers agree on where a message ends."""
    lengths = header_values(headers, LENGTH)
    encodings = header_values(headers, ENCODING)
    if len(lengths) > 1 or len(encodings) > 1 or (lengths and encodings):
        return False
    if any(encoding.lower() != CHUNKED for encoding in encodings):
        return False
    return all(text.isascii() and text.isdigit() for text in lengths)


def has_explicit_length(headers: Headers) -> bool:
    """Returns whether headers give the end of a message, without ambiguity."""
    framed = header_values(headers, LENGTH) or header_values(headers, ENCODING)
    return bool(framed) and has_safe_framing(headers)


def announces_body(headers: Headers) -> bool:
    """Returns whether bytes of a body follow, unless the message has none.

    The head of an answer to HEAD, or of one with the status 304, may announce a
    body that isn't sent.
    """
    if header_values(headers, ENCODING):
        return True
    return any(text.strip('0') for text in header_values(headers, LENGTH))


def keep_alive_timeout(keep_alive_values: list[str], default: float) -> float:
    """Returns the timeout of a keep-alive header, seconds.

    Args:
        keep_alive_values: The values of the keep-alive header.
        default: The time if no value has a timeout.
    """
    fields = (
        field.strip().lower().partition('=')
        for value in keep_alive_values
        for field in value.split(',')
    )
    times = (
        int(text)
        for name, _, text in fields
        if name == 'timeout' and text.isascii() and text.isdigit()
    )
    return next(times, default)
