"""The metrics of a daemon, collected with OpenTelemetry on request.

The instruments observe counters that the daemon keeps in any case. The SDK is
imported at the first request, so that it costs nothing where metrics are never
read.
"""

import importlib
import itertools
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import attrs

PREFIX = 'egretlanding'

Labels = Mapping[str, str]


@attrs.frozen
class Sample:
    """One value of a metric.

    Attributes:
        value: The value.
        labels: The labels that distinguish it from other values.
    """

    value: float
    labels: Labels = attrs.field(factory=dict)


@attrs.frozen
class Metric:
    """A metric that is observed when metrics are read.

    Attributes:
        name: The name, without the prefix.
        unit: The unit.
        description: What it measures, in one clause.
        observe: Returns the current values.
        monotonic: Whether it is a counter, whose values never decrease.
    """

    name: str
    unit: str
    description: str
    observe: Callable[[], Iterable[Sample]]
    monotonic: bool = True


@attrs.define
class MetricReader:
    """Reads the metrics of one process.

    Attributes:
        metrics: The metrics.
        reader: The SDK's reader, None until the first read.
    """

    metrics: tuple[Metric, ...]
    reader: Any = None

    def render(self) -> str:
        """Returns the values in the Prometheus text format."""
        if self.reader is None:
            self.reader = self.connect()
        collected = self.reader.get_metrics_data()
        scopes = itertools.chain.from_iterable(
            resource.scope_metrics for resource in collected.resource_metrics
        )
        return ''.join(
            render_metric(metric)
            for scope in scopes
            for metric in scope.metrics
        )

    def connect(self) -> Any:
        """Registers the metrics with the SDK and returns its reader."""
        export = importlib.import_module('opentelemetry.sdk.metrics.export')
        sdk = importlib.import_module('opentelemetry.sdk.metrics')
        reader = export.InMemoryMetricReader()
        provider = sdk.MeterProvider([reader], shutdown_on_exit=False)
        meter = provider.get_meter(PREFIX)
        for metric in self.metrics:
            create = (
                meter.create_observable_counter
                if metric.monotonic
                else meter.create_observable_gauge
            )
            create(
                metric.name,
                callbacks=[observer_of(metric)],
                unit=metric.unit,
                description=metric.description,
            )
        return reader


def observer_of(metric: Metric) -> Callable[[Any], Iterable[Any]]:
    """Returns the callback with which the SDK observes a metric."""
    api = importlib.import_module('opentelemetry.metrics')

    def observe(_options: Any) -> Iterable[Any]:
        return [
            api.Observation(sample.value, sample.labels)
            for sample in metric.observe()
        ]

    return observe


def render_metric(metric: Any) -> str:
    """Returns one metric in the Prometheus text format."""
    name = f'{PREFIX}_{metric.name}'
    lines = [f'# HELP {name} {metric.description} ({metric.unit})']
    lines.extend(
        f'{name}{render_labels(point.attributes)} {point.value}'
        for point in metric.data.data_points
    )
    return ''.join(f'{line}\n' for line in lines)


def render_labels(labels: Labels) -> str:
    """Returns labels in the Prometheus text format."""
    pairs = ','.join(
        f'{name}="{text}"' for name, text in sorted(labels.items())
    )
    return f'{{{pairs}}}' if pairs else ''
