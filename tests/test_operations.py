"""The log leads from a failed request's id to its cause.

docs/OPERATIONS.md says which lines to look for; these are the lines.
"""

from __future__ import annotations

import unittest

import logbook

from tests.rig.site import Site


class TestFailedRequests(unittest.TestCase):
    """Three kinds of failed request and what is written of them."""

    def start(self, **shape: int) -> None:
        """Start a site and collect what its processes write."""
        self.site = Site.started(**shape)
        self.addCleanup(self.site.close)
        self.log = logbook.TestHandler(level=logbook.INFO, bubble=True)
        self.log.push_application()
        self.addCleanup(self.log.pop_application)

    def lines_of(self, call):
        """Give the facts of every line with the id of a request, by message."""
        wanted = dict(call.headers)['Attempt-Id']
        return {
            record.message: record.extra
            for record in self.log.records
            if record.extra.get('id') == wanted
        }

    def test_broken_off(self):
        self.start()
        for app in self.site.apps:
            app.lose_answers = 1
        call = self.site.call('/orders/1')
        self.assertEqual(self.site.send('vm-0', call).status, 502)
        lines = self.lines_of(call)
        self.assertEqual(lines['request']['outcome'], 'outcome_unknown')
        self.assertEqual(lines['send']['outcome'], 'lost')
        self.assertIn(lines['send']['upstream'], {'app-0', 'app-1'})

    def test_metrics_count_it(self):
        self.start()
        for app in self.site.apps:
            app.full = True
        self.site.send('vm-0', self.site.call('/orders/1'))
        daemon = self.site.vms_by_id['vm-0'].daemon
        text = daemon.metrics.exposition().decode()
        self.assertIn(
            'flamingovalve_requests_total{outcome="overloaded"} 1.0',
            text,
        )
        self.assertIn('flamingovalve_members_present 3.0', text)
        self.assertIn('flamingovalve_http_requests_total 1.0', text)

    def test_late(self):
        self.start()
        for app in self.site.apps:
            app.run_seconds = 9
        call = self.site.call('/reads/1')
        self.assertEqual(self.site.send('vm-0', call).status, 504)
        lines = self.lines_of(call)
        self.assertEqual(lines['request']['outcome'], 'deadline_passed')
        self.assertEqual(lines['send']['outcome'], 'timed_out')
        self.assertEqual(lines['send']['first_event'], 0)

    def test_refused(self):
        self.start(engines=1, slots=1)
        calls = [self.site.chat(f'a{number}') for number in range(12)]
        tasks = [self.site.begin('vm-0', call) for call in calls]
        statuses = [self.site.wait(task).status for task in tasks]
        refused = calls[statuses.index(503)]
        lines = self.lines_of(refused)
        self.assertEqual(lines['request']['outcome'], 'overloaded')
        self.assertIn('every place', lines['refused']['reason'])
        self.assertIn('waited', lines['refused'])
        served = self.lines_of(calls[statuses.index(200)])
        facts = {'upstream', 'expected', 'waited', 'report_age'}
        self.assertLessEqual(facts, set(served['place']))
