"""The configuration that an entry has in force."""

import json
import unittest
from unittest import mock

from poplardrum.dispatch import routes
from poplardrum.platform import job_api


def content(version: int) -> bytes:
    """Return a stored configuration without routes."""
    return json.dumps({'Version': version, 'Routes': []}).encode()


class TestRouteTable(unittest.TestCase):
    """Applying what reads of the store return."""

    def test_unchanged_content_is_not_decoded(self) -> None:
        """Guards against decoding all routes at each read between watches."""
        table = routes.RouteTable()
        with mock.patch.object(
            job_api,
            'decode_configuration',
            side_effect=job_api.decode_configuration,
        ) as decode:
            for version in (1, 1, 2, 2, 2):
                table.apply(content(version))
        self.assertEqual(decode.call_count, 2)

    def test_older_content_between_equal_ones(self) -> None:
        """Guards against a stale read that takes a configuration back."""
        table = routes.RouteTable()
        for version in (2, 1, 2):
            table.apply(content(version))
        assert table.configuration is not None
        self.assertEqual(table.configuration.number, 2)
