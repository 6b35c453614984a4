"""Compare the times after which refused callers come back in a flood.

Run `python -m bench.policy_returns`; the flood asks for three times the
capacity for 5 s. Prints `name value unit`, for the policy of the product beside
its baselines.
"""

import random
import typing

from bench import figures
from bench import returns_model as model

_SEED: typing.Final = 1


def main() -> None:
    """Print the figures of each policy."""
    policies = {
        'fixed_1s': model.fixed_returns(1.0),
        'random_3s': model.random_returns(random.Random(_SEED), 3.0),
        'promised': model.promised_returns(),
    }
    for name, policy in policies.items():
        outcome = model.play(_SEED, policy)
        figures.print_figures(
            [
                figures.without_bound(
                    f'returns.{name}.refusals',
                    outcome.refusals_per_job,
                    'per_job',
                ),
                figures.without_bound(
                    f'returns.{name}.served', outcome.served, 'share'
                ),
                figures.without_bound(
                    f'returns.{name}.out_of_order',
                    outcome.out_of_order,
                    'share',
                ),
                figures.without_bound(
                    f'returns.{name}.last_start', outcome.last_start, 's'
                ),
            ],
        )


if __name__ == '__main__':
    main()
