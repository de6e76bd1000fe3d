"""Renders foreign text so that it is short and safe to print."""

MAX_SHOWN_CHARS = 80


def show(text: str) -> str:
    """Returns a text itself if it is short and printable, else an excerpt."""
    if text.isprintable() and len(text) <= MAX_SHOWN_CHARS:
        return text
    return ascii(text[:MAX_SHOWN_CHARS])


def quote(text: str) -> str:
    """Returns an excerpt of a text in quotes."""
    return ascii(text[:MAX_SHOWN_CHARS])
