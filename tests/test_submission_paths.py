"""Resubmissions in a system whose processes stop only as planned."""

from tests import submission_fleet


class SubmissionPathsTest(submission_fleet.FleetCase):
    """Guards against keys that are started twice or not found."""

    def test_crossed_resubmissions(self) -> None:
        """Guards against a second start by concurrent attempts."""
        for number in range(10):
            key = f'crossed-{number}'
            futures = [
                self.pool.submit(
                    self.submit,
                    key,
                    0.1,
                    index % 2,
                    first=index == number % 8,
                )
                for index in range(8)
            ]
            replies = [future.result() for future in futures]
            self.assertEqual({reply[0] for reply in replies}, {200})
            self.assertEqual(len({reply[1]['job'] for reply in replies}), 1)
            self.assert_started_once(key)

    def test_unknown_resubmission(self) -> None:
        """Guards against refusing a job whose first attempt was lost."""
        status, reply = self.submit('unknown', first=False)
        self.assertEqual((status, reply['code']), (200, 'ok'))

    def test_found_at_lower_rank(self) -> None:
        """Guards against fetching or cancelling at the wrong agent."""
        key = self.key_owned_by(2, 'lower')
        self.fleet.agents[2].stop()
        # Long enough to run still when the fleet has healed; it is cancelled.
        job = self.start_job(key, 30)
        self.heal()
        self.assertEqual(self.fleet.member_status('agent-2')['state'], 'ready')
        self.assertEqual(self.call_job('GET', key)[1]['state'], 'running')
        self.assertEqual(self.call_job('GET', 'nobody')[0], 404)
        cancelled = self.call_job('DELETE', key, entry=1)
        self.assertEqual(cancelled[1]['job'], job.result()[1]['job'])
        self.assert_started_once(key)

    def test_planned_restart_keeps_answer(self) -> None:
        """Guards against answers lost at a planned stop."""
        key = self.key_owned_by(1, 'planned')
        status, reply = self.submit(key)
        self.assertEqual(status, 200)
        self.assertEqual(self.fleet.agents[1].stop(), 0)
        self.assertEqual(self.submit(key, entry=1, first=False)[1], reply)
        self.heal()
        self.assertEqual(self.submit(key, first=False)[1], reply)
        self.assertEqual(
            self.call_job('GET', key, entry=1)[1]['job'], reply['job']
        )
        self.assert_started_once(key)
