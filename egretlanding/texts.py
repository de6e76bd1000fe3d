"""Renders foreign text so that it is short and safe to print."""

MAX_SHOWN_CHARS = 80
MAX_PATH_CHARS = 1_024


def show(text: str, limit: int = MAX_SHOWN_CHARS) -> str:
    """Returns a text itself if it is short and printable, else an excerpt."""
    if text.isprintable() and len(text) <= limit:
        return text
    return ascii(text[:limit])


def show_path(path: object) -> str:
    """Returns the path of a file; readers need all of it to find the file."""
    return show(str(path), MAX_PATH_CHARS)


def quote(text: str) -> str:
    """Returns an excerpt of a text in quotes."""
    return ascii(text[:MAX_SHOWN_CHARS])
