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
    """A policy and the names of the fields that were written in it.

    Attributes:
        policy: The policy; fields that weren't written have their default.
        written: Names of the fields that were written.
    """

    policy: Policy
    written: frozenset[str]

    @classmethod
    def from_policy(cls, policy: Policy) -> 'WrittenPolicy':
        """Treats the fields that differ from their default as written."""
        written = frozenset(
            field.name
            for field in attrs.fields(Policy)
            if getattr(policy, field.name) != field.default
        )
        return cls(policy, written)

    def fields(self) -> dict[str, Any]:
        """Returns the written fields, except the link to the parent."""
        return {
            field.name: getattr(self.policy, field.name)
            for field in attrs.fields(Policy)
            if field.name in self.written and field.name != PARENT_FIELD
        }


def flatten(policies: Mapping[str, WrittenPolicy]) -> dict[str, Policy]:
    """Replaces inherited fields of policies by their values.

    Args:
        policies: All policies by name.

    Returns:
        The effective policies by name; none of them extends another.
    """
    return {name: _effective_policy(policies, name) for name in policies}


def resolve_policy(release: Release, name: str) -> Policy:
    """Returns a policy of a release with its inherited fields.

    Compiled releases contain policies that are already flattened. In other
    releases, fields that have their default value are inherited.

    Args:
        release: A release that passes the check.
        name: The name of one of its policies.
    """
    policies = {
        policy.name: WrittenPolicy.from_policy(policy.spec)
        for policy in _lineage(release, name)
    }
    return _effective_policy(policies, name)


def _lineage(release: Release, name: str) -> Iterator[ConfigObject]:
    # Each name is visited only once, so that the loop ends on a cycle.
    names = [name]
    for current_name in names:
        policy = release.objects.get((Policy.__name__, current_name))
        if policy is None:
            return
        yield policy
        if policy.spec.extends not in names:
            names.append(policy.spec.extends)


def _effective_policy(
    policies: Mapping[str, WrittenPolicy], name: str
) -> Policy:
    layers: dict[str, dict[str, Any]] = {}
    while name in policies and name not in layers:
        layers[name] = policies[name].fields()
        name = policies[name].policy.extends
    return Policy(**ChainMap(*layers.values()))
