"""Shortens and escapes untrusted text so that it is safe to print."""

MAX_SHOWN_CHARS = 80
MAX_PATH_CHARS = 1_024


def printable(text: str, limit: int = MAX_SHOWN_CHARS) -> str:
    """Returns the text if short and printable, else an escaped excerpt."""
    if text.isprintable() and len(text) <= limit:
        return text
    return ascii(text[:limit])


def printable_path(path: object) -> str:
    """Returns the path of a file, with a limit that leaves most paths whole."""
    return printable(str(path), MAX_PATH_CHARS)


def quote(text: str) -> str:
    """Returns the start of a text, quoted and escaped."""
    return ascii(text[:MAX_SHOWN_CHARS])
