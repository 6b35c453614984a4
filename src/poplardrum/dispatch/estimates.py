"""Prediction of the duration of a job from what its caller declares."""

import typing

import msgspec

from poplardrum import decoding

_POINT_DECAY: typing.Final = 0.98
# Estimates vary widely, so their mean needs many jobs.
_SCALE_DECAY: typing.Final = 0.998
_MIN_WEIGHT: typing.Final = 8.0
_MIN_ERROR_WEIGHT: typing.Final = 16.0
_MIN_PREDICTION_RATIO: typing.Final = 0.25
_MAX_PREDICTION_RATIO: typing.Final = 4.0
_MAX_PREDICTORS: typing.Final = 256


class DecayingRegression(msgspec.Struct, frozen=True, array_like=True):
    """Least squares regression line whose points lose weight with age.

    It consists of sums, so those of several processes can be added. The field
    order is part of what entries share.
    """

    weight: decoding.Weight = 0.0
    sum_x: decoding.Weight = 0.0
    sum_y: decoding.Weight = 0.0
    sum_xx: decoding.Weight = 0.0
    sum_xy: decoding.Weight = 0.0
    error_sum: decoding.Weight = 0.0
    error_weight: decoding.Weight = 0.0

    def plus(self, other: 'DecayingRegression') -> 'DecayingRegression':
        """Return the regression over the points of both."""
        return DecayingRegression(
            self.weight + other.weight,
            self.sum_x + other.sum_x,
            self.sum_y + other.sum_y,
            self.sum_xx + other.sum_xx,
            self.sum_xy + other.sum_xy,
            self.error_sum + other.error_sum,
            self.error_weight + other.error_weight,
        )

    def predict(self, x_value: float) -> float | None:
        """Return the value at `x_value`, or `None` with too few points."""
        if self.weight < _MIN_WEIGHT:
            return None
        mean_x = self.sum_x / self.weight
        mean_y = self.sum_y / self.weight
        variance_x = self.sum_xx / self.weight - mean_x**2
        if variance_x <= 0:
            return mean_y
        slope = (self.sum_xy / self.weight - mean_x * mean_y) / variance_x
        predicted = mean_y + slope * (x_value - mean_x)
        # An extrapolation far from the points is not reliable.
        return min(
            max(predicted, _MIN_PREDICTION_RATIO * mean_y),
            _MAX_PREDICTION_RATIO * mean_y,
        )

    def with_point(
        self, x_value: float, y_value: float, predicted: float | None
    ) -> 'DecayingRegression':
        """Return it with a point, and the error of what was predicted for it."""
        error_sum = self.error_sum
        error_weight = self.error_weight
        if predicted is not None:
            relative_error = (predicted - y_value) / max(y_value, 1e-3)
            error_sum = error_sum * _POINT_DECAY + relative_error**2
            error_weight = error_weight * _POINT_DECAY + 1
        return DecayingRegression(
            self.weight * _POINT_DECAY + 1,
            self.sum_x * _POINT_DECAY + x_value,
            self.sum_y * _POINT_DECAY + y_value,
            self.sum_xx * _POINT_DECAY + x_value**2,
            self.sum_xy * _POINT_DECAY + x_value * y_value,
            error_sum,
            error_weight,
        )

    def mean_error(self) -> float:
        """Return the mean square of the relative error, infinite without any."""
        return (
            self.error_sum / self.error_weight
            if self.error_weight
            else float('inf')
        )


class QueueStatistics(msgspec.Struct, frozen=True, array_like=True):
    """What was learned from the jobs of a queue; statistics can be added.

    The field order is part of what entries share.
    """

    by_estimate: DecayingRegression = msgspec.field(
        default_factory=DecayingRegression
    )
    by_client_timeout: DecayingRegression = msgspec.field(
        default_factory=DecayingRegression
    )
    estimate_sum: decoding.Weight = 0.0
    duration_sum: decoding.Weight = 0.0

    def plus(self, other: 'QueueStatistics') -> 'QueueStatistics':
        """Return the statistics over the jobs of both."""
        return QueueStatistics(
            self.by_estimate.plus(other.by_estimate),
            self.by_client_timeout.plus(other.by_client_timeout),
            self.estimate_sum + other.estimate_sum,
            self.duration_sum + other.duration_sum,
        )


class DurationPredictor:
    """Predict the duration of the longest task of a job.

    Durations are in seconds at endpoints of slowness 1. A caller declares an
    estimate, which may be far off, and its client timeout, which may say more
    about the size of the job. Whichever gave the better prediction for recent
    jobs of the queue is used. Predictions rest on the `own` jobs of this entry
    and on the `shared` statistics of others.
    """

    def __init__(self) -> None:
        """Start untrained: predictions equal the declared estimate."""
        self.own = QueueStatistics()
        self.shared = QueueStatistics()

    def predict(self, estimate: float, client_timeout: float) -> float:
        """Return the predicted duration of the longest task."""
        known = self.own.plus(self.shared)
        from_estimate = known.by_estimate.predict(estimate)
        from_timeout = known.by_client_timeout.predict(client_timeout)
        if from_estimate is None or from_timeout is None:
            return estimate
        timeout_error = known.by_client_timeout.mean_error()
        if timeout_error < known.by_estimate.mean_error():
            return from_timeout
        return from_estimate

    def is_trained(self) -> bool:
        """Return whether predictions are based on enough jobs."""
        known = self.own.plus(self.shared)
        return (
            min(
                known.by_estimate.error_weight,
                known.by_client_timeout.error_weight,
            )
            > _MIN_ERROR_WEIGHT
        )

    def scale(self) -> float:
        """Return the nominal duration of a task that takes 1 s.

        Single estimates are wrong, but their mean is right, so the ratio to
        the measured durations gives the speed that callers assume.
        """
        estimates = self.own.estimate_sum + self.shared.estimate_sum
        durations = self.own.duration_sum + self.shared.duration_sum
        return estimates / durations if durations else 1.0

    def learn(
        self,
        estimate: float,
        client_timeout: float,
        durations: typing.Sequence[float],
    ) -> None:
        """Learn from the durations of the tasks of a job, which all ran once."""
        longest = max(durations)
        known = self.own.plus(self.shared)
        own = self.own
        mean = sum(durations) / len(durations)
        self.own = QueueStatistics(
            own.by_estimate.with_point(
                estimate, longest, known.by_estimate.predict(estimate)
            ),
            own.by_client_timeout.with_point(
                client_timeout,
                longest,
                known.by_client_timeout.predict(client_timeout),
            ),
            own.estimate_sum * _SCALE_DECAY + estimate,
            own.duration_sum * _SCALE_DECAY + mean,
        )


class PredictorTable:
    """The predictors of an entry by queue, a bounded number of them."""

    def __init__(self) -> None:
        """Start without predictors."""
        self.predictors: dict[str, DurationPredictor] = {}
        self.shared: dict[str, QueueStatistics] = {}

    def get(self, queue: str) -> DurationPredictor:
        """Return the predictor of a queue; create one if there is none."""
        predictor = self.predictors.get(queue)
        if predictor is None:
            if len(self.predictors) >= _MAX_PREDICTORS:
                self.predictors.clear()
            predictor = DurationPredictor()
            predictor.shared = self.shared.get(queue, predictor.shared)
            self.predictors[queue] = predictor
        return predictor

    def own_statistics(self) -> dict[str, QueueStatistics]:
        """Return what this entry has learned, by queue."""
        return {
            queue: predictor.own
            for queue, predictor in self.predictors.items()
            if predictor.own.by_estimate.weight
        }

    def restore(self, statistics: dict[str, QueueStatistics]) -> None:
        """Add what an earlier process of this entry had learned."""
        for queue, earlier in statistics.items():
            predictor = self.get(queue)
            predictor.own = predictor.own.plus(earlier)

    def use_shared(self, statistics: dict[str, QueueStatistics]) -> None:
        """Use the sums of what all other entries have learned, by queue."""
        self.shared = statistics
        for queue, predictor in self.predictors.items():
            predictor.shared = statistics.get(queue, QueueStatistics())
