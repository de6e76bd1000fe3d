"""Resolves the fields that policies inherit from one another."""

from collections import ChainMap
from collections.abc import Iterator, Mapping
from typing import Any

import attrs

from egretlanding.objects import ConfigObject, Policy
from egretlanding.release import Release

PARENT_FIELD = 'extends'


@attrs.frozen
class WrittenPolicy:
    """A policy and the fields that were written in it.

    Attributes:
        policy: The policy; fields that weren't written are at their default.
        written: Names of the fields that were written.
    """

    policy: Policy
    written: frozenset[str]

    @classmethod
    def from_policy(cls, policy: Policy) -> 'WrittenPolicy':
        """Takes fields that differ from their default as written."""
        written = frozenset(
            field.name
            for field in attrs.fields(Policy)
            if getattr(policy, field.name) != field.default
        )
        return cls(policy, written)

    def fields(self) -> dict[str, Any]:
        """Returns the written fields but for the link to the parent."""
        return {
            field.name: getattr(self.policy, field.name)
            for field in attrs.fields(Policy)
            if field.name in self.written and field.name != PARENT_FIELD
        }


def flatten(policies: Mapping[str, WrittenPolicy]) -> dict[str, Policy]:
    """Writes out what each policy inherits.

    Args:
        policies: All policies by name.

    Returns:
        The effective policies by name; none of them extends another.
    """
    return {name: _effective(policies, name) for name in policies}


def resolve_policy(release: Release, name: str) -> Policy:
    """Returns the effective policy of a name in a release.

    Compiled releases hold flattened policies. In others, the fields at
    their default are inherited.

    Args:
        release: A release that passes the check.
        name: The name of one of its policies.
    """
    policies = {
        entry.name: WrittenPolicy.from_policy(entry.spec)
        for entry in _ancestors(release, name)
    }
    return _effective(policies, name)


def _ancestors(release: Release, name: str) -> Iterator[ConfigObject]:
    # Each name is visited once, so that a cycle can't hold the caller up.
    names = [name]
    for each in names:
        entry = release.objects.get((Policy.__name__, each))
        if entry is None:
            return
        yield entry
        if entry.spec.extends not in names:
            names.append(entry.spec.extends)


def _effective(policies: Mapping[str, WrittenPolicy], name: str) -> Policy:
    layers: dict[str, dict[str, Any]] = {}
    while name in policies and name not in layers:
        layers[name] = policies[name].fields()
        name = policies[name].policy.extends
    return Policy(**ChainMap(*layers.values()))
