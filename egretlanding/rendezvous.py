"""Rendezvous hashing: the same list gives the same ranking everywhere."""

import hashlib
from collections.abc import Iterable

WEIGHT_BYTES = 8


def weight(subject: str, candidate: str) -> int:
    """Returns the weight of a candidate for a subject."""
    hashed = hashlib.blake2b(
        f'{subject}\0{candidate}'.encode(),
        digest_size=WEIGHT_BYTES,
    )
    return int.from_bytes(hashed.digest(), 'big')


def rank_candidates(subject: str, candidates: Iterable[str]) -> list[str]:
    """Returns the candidates by descending weight for the subject."""
    return sorted(
        candidates,
        key=lambda candidate: (weight(subject, candidate), candidate),
        reverse=True,
    )
