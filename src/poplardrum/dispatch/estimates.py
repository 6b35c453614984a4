"""Prediction of the work of a job from what its caller tells."""

import dataclasses
import typing

_POINT_DECAY: typing.Final = 0.98
# Estimates scatter widely, so their mean needs many jobs.
_SCALE_DECAY: typing.Final = 0.998
_MIN_WEIGHT: typing.Final = 8.0
_MIN_ERROR_WEIGHT: typing.Final = 16.0
_MIN_PREDICTION_RATIO: typing.Final = 0.25
_MAX_PREDICTION_RATIO: typing.Final = 4.0


@dataclasses.dataclass
class DecayingRegression:
    """Least squares line through points that are slowly forgotten."""

    weight: float = 0.0
    sum_x: float = 0.0
    sum_y: float = 0.0
    sum_xx: float = 0.0
    sum_xy: float = 0.0
    error_sum: float = 0.0
    error_weight: float = 0.0

    def predict(self, known: float) -> float | None:
        """Return the value on the line, or `None` with too few points."""
        if self.weight < _MIN_WEIGHT:
            return None
        mean_x = self.sum_x / self.weight
        mean_y = self.sum_y / self.weight
        spread = self.sum_xx / self.weight - mean_x**2
        if spread <= 0:
            return mean_y
        slope = (self.sum_xy / self.weight - mean_x * mean_y) / spread
        found = mean_y + slope * (known - mean_x)
        # Far from the points the line means nothing.
        return min(
            max(found, _MIN_PREDICTION_RATIO * mean_y),
            _MAX_PREDICTION_RATIO * mean_y,
        )

    def learn(self, known: float, found: float) -> None:
        """Add a point, and the error that the line made for it."""
        predicted = self.predict(known)
        if predicted is not None:
            self.error_weight = self.error_weight * _POINT_DECAY + 1
            share = (predicted - found) / max(found, 1e-3)
            self.error_sum = self.error_sum * _POINT_DECAY + share**2
        for name, amount in (
            ('weight', 1.0),
            ('sum_x', known),
            ('sum_y', found),
            ('sum_xx', known**2),
            ('sum_xy', known * found),
        ):
            setattr(self, name, getattr(self, name) * _POINT_DECAY + amount)

    def mean_error(self) -> float:
        """Return the mean square of the relative error."""
        return (
            self.error_sum / self.error_weight
            if self.error_weight
            else float('inf')
        )


class DurationPredictor:
    """Predict the longest task of a job, in seconds at usual speed.

    A caller declares an estimate, which may be far off, and how long it
    waits, which may tell more about the size of its job. Whichever was
    closer for the recent jobs of the queue is used.
    """

    def __init__(self) -> None:
        """Start without knowledge: the declared estimate is taken."""
        self.by_estimate = DecayingRegression()
        self.by_client_timeout = DecayingRegression()
        self.estimate_sum = 0.0
        self.duration_sum = 0.0

    def predict(self, estimate: float, patience: float) -> float:
        """Return the predicted time of the longest task."""
        declared = self.by_estimate.predict(estimate)
        waited = self.by_client_timeout.predict(patience)
        if declared is None or waited is None:
            return estimate
        if self.by_client_timeout.mean_error() < self.by_estimate.mean_error():
            return waited
        return declared

    def is_trained(self) -> bool:
        """Return whether predictions rest on enough jobs."""
        return (
            min(
                self.by_estimate.error_weight,
                self.by_client_timeout.error_weight,
            )
            > _MIN_ERROR_WEIGHT
        )

    def scale(self) -> float:
        """Return the nominal time of a task that takes 1 s here.

        Estimates are wrong one by one but right on average, so they tell
        the speed that callers take as usual.
        """
        return (
            self.estimate_sum / self.duration_sum if self.duration_sum else 1.0
        )

    def learn(
        self,
        estimate: float,
        patience: float,
        works: typing.Sequence[float],
    ) -> None:
        """Learn from the tasks of a job that all ran once."""
        longest = max(works)
        self.by_estimate.learn(estimate, longest)
        self.by_client_timeout.learn(patience, longest)
        self.estimate_sum = self.estimate_sum * _SCALE_DECAY + estimate
        mean = sum(works) / len(works)
        self.duration_sum = self.duration_sum * _SCALE_DECAY + mean
