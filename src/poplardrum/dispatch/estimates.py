"""Prediction of the duration of a job from what its caller declares."""

import dataclasses
import typing

_POINT_DECAY: typing.Final = 0.98
# Estimates vary widely, so their mean needs many jobs.
_SCALE_DECAY: typing.Final = 0.998
_MIN_WEIGHT: typing.Final = 8.0
_MIN_ERROR_WEIGHT: typing.Final = 16.0
_MIN_PREDICTION_RATIO: typing.Final = 0.25
_MAX_PREDICTION_RATIO: typing.Final = 4.0


@dataclasses.dataclass
class DecayingRegression:
    """Least squares regression line whose points lose weight with age."""

    weight: float = 0.0
    sum_x: float = 0.0
    sum_y: float = 0.0
    sum_xx: float = 0.0
    sum_xy: float = 0.0
    error_sum: float = 0.0
    error_weight: float = 0.0

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

    def learn(self, x_value: float, y_value: float) -> None:
        """Add a point and the error of the prediction for it."""
        predicted = self.predict(x_value)
        if predicted is not None:
            self.error_weight = self.error_weight * _POINT_DECAY + 1
            relative_error = (predicted - y_value) / max(y_value, 1e-3)
            self.error_sum = self.error_sum * _POINT_DECAY + relative_error**2
        for name, amount in (
            ('weight', 1.0),
            ('sum_x', x_value),
            ('sum_y', y_value),
            ('sum_xx', x_value**2),
            ('sum_xy', x_value * y_value),
        ):
            setattr(self, name, getattr(self, name) * _POINT_DECAY + amount)

    def mean_error(self) -> float:
        """Return the mean square of the relative error, infinite without any."""
        return (
            self.error_sum / self.error_weight
            if self.error_weight
            else float('inf')
        )


class DurationPredictor:
    """Predict the duration of the longest task of a job.

    Durations are in seconds at endpoints of slowness 1. A caller declares an
    estimate, which may be far off, and its client timeout, which may say more
    about the size of the job. Whichever gave the better prediction for recent
    jobs of the queue is used.
    """

    def __init__(self) -> None:
        """Start untrained: predictions equal the declared estimate."""
        self.by_estimate = DecayingRegression()
        self.by_client_timeout = DecayingRegression()
        self.estimate_sum = 0.0
        self.duration_sum = 0.0

    def predict(self, estimate: float, client_timeout: float) -> float:
        """Return the predicted duration of the longest task."""
        from_estimate = self.by_estimate.predict(estimate)
        from_timeout = self.by_client_timeout.predict(client_timeout)
        if from_estimate is None or from_timeout is None:
            return estimate
        if self.by_client_timeout.mean_error() < self.by_estimate.mean_error():
            return from_timeout
        return from_estimate

    def is_trained(self) -> bool:
        """Return whether predictions are based on enough jobs."""
        return (
            min(
                self.by_estimate.error_weight,
                self.by_client_timeout.error_weight,
            )
            > _MIN_ERROR_WEIGHT
        )

    def scale(self) -> float:
        """Return the nominal duration of a task that takes 1 s.

        Single estimates are wrong, but their mean is right, so the ratio to
        the measured durations gives the speed that callers assume.
        """
        return (
            self.estimate_sum / self.duration_sum if self.duration_sum else 1.0
        )

    def learn(
        self,
        estimate: float,
        client_timeout: float,
        durations: typing.Sequence[float],
    ) -> None:
        """Learn from the durations of the tasks of a job, which all ran once."""
        longest = max(durations)
        self.by_estimate.learn(estimate, longest)
        self.by_client_timeout.learn(client_timeout, longest)
        self.estimate_sum = self.estimate_sum * _SCALE_DECAY + estimate
        mean = sum(durations) / len(durations)
        self.duration_sum = self.duration_sum * _SCALE_DECAY + mean
