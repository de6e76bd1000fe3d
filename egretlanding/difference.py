"""Differences between two contents, in the format of zstandard."""

import zstandard

from egretlanding.exceptions import ReleaseError

# Finds a change of one route in a configuration of thousands, at the speed of
# plain compression.
LEVEL = 3
MIN_WINDOW_BITS = 10


def encode_difference(content: bytes, base: bytes) -> bytes:
    """Returns content as its difference to a base.

    Args:
        content: The content.
        base: An earlier content, which the receiver holds.
    """
    window_bits = (len(base) + len(content)).bit_length()
    compression = zstandard.ZstdCompressionParameters.from_level(
        LEVEL,
        source_size=len(content),
        dict_size=len(base),
        window_log=max(MIN_WINDOW_BITS, window_bits),
    )
    compressor = zstandard.ZstdCompressor(
        dict_data=dictionary_of(base), compression_params=compression
    )
    return compressor.compress(content)


def decode_difference(encoded: bytes, base: bytes, limit: int) -> bytes:
    """Returns the content that a difference and its base make up.

    Args:
        encoded: The difference.
        base: The base.
        limit: Most bytes of the content.

    Raises:
        ReleaseError: The bytes are corrupt, or the content is too large.
    """
    decompressor = zstandard.ZstdDecompressor(
        dict_data=dictionary_of(base), max_window_size=4 * limit
    )
    try:
        size = zstandard.frame_content_size(encoded)
        content = decompressor.decompress(encoded) if size <= limit else b''
    except zstandard.ZstdError as error:
        raise ReleaseError(
            f'a difference is corrupt ({error})',
            'run the same version of egretlandingd on every host',
        ) from error
    if size != len(content):
        raise ReleaseError(
            f'a difference makes up more than {limit} bytes',
            'publish fewer or smaller objects',
        )
    return content


def dictionary_of(content: bytes) -> zstandard.ZstdCompressionDict:
    """Returns a dictionary that refers to content as it is."""
    return zstandard.ZstdCompressionDict(
        content, dict_type=zstandard.DICT_TYPE_RAWCONTENT
    )
