"""Decisions of one agent about which agent owns a key."""

import typing

from poplardrum import ids
from poplardrum.coordination import key_queries, records, stability, views
from poplardrum.peers import messages

# Added to deadline and resubmission window, for the last answer of a job.
RETENTION_MARGIN_S: typing.Final = 30.0


class KeyOwnership:
    """Records, tombstones and running queries of one agent."""

    def __init__(
        self,
        view: views.MembershipView,
        record_table: records.RecordTable,
        stability_tracker: stability.StabilityTracker,
    ) -> None:
        """Start without running queries."""
        self.view = view
        self.records = record_table
        self.stability = stability_tracker
        self.key_queries: dict[records.RecordKey, key_queries.KeyQuery] = {}
        # Set when the hand-over begins: a tombstone granted after that would
        # not be handed over.
        self.closed = False

    def retention_time(self, deadline_s: float) -> float:
        """Return how long records of a job matter, in seconds."""
        return deadline_s + self.records.window_s + RETENTION_MARGIN_S

    def guarantees(
        self, now: float, retention_s: float
    ) -> key_queries.AgentGuarantees:
        """Return what this agent knows about itself for a retention time."""
        entries = self.view.entries()
        ready = self.view.own.state is messages.MemberState.ready
        return key_queries.AgentGuarantees(
            ready and self.stability.is_stable(now, retention_s, entries),
            self.stability.is_clean(now, retention_s),
        )

    def start_query(
        self,
        key: records.RecordKey,
        attempt: key_queries.SubmissionAttempt,
        now: float,
    ) -> key_queries.KeyQuery:
        """Start a query about an unknown key.

        It is registered unless it is read-only or has an outcome at once.
        """
        own = self.view.own
        ranked = views.rank(*key, self.view.agents(own.region))
        query = key_queries.KeyQuery(
            own.id,
            [member.id for member in ranked],
            attempt,
            self.guarantees(now, attempt.retention_s),
        )
        if query.outcome is None and not attempt.read_only:
            self.key_queries[key] = query
        return query

    def end_query(
        self,
        key: records.RecordKey,
        query: key_queries.KeyQuery,
    ) -> None:
        """Remove a query that has ended."""
        if self.key_queries.get(key) is query:
            self.key_queries.pop(key)

    def answer_query(
        self,
        query: messages.AskRecord,
        now: float,
    ) -> messages.RecordReply:
        """Return the reply to the query of another agent.

        A query that is not read-only may cede the key to that agent.
        """
        key = (query.tenant, query.key)
        if key in self.records.by_key:
            return self._reply(query, messages.RecordState.owned, now)
        owner = self.records.tombstone_owner(key, now)
        if owner is not None and owner != query.sender.id:
            elsewhere = messages.RecordState.elsewhere
            return self._reply(query, elsewhere, now, owner)
        if self._keeps(key, query):
            return self._reply(query, messages.RecordState.owned, now)
        granted = query.read_only or self._cede(key, query, now)
        if self.closed or not granted:
            return self._reply(query, messages.RecordState.unable, now)
        return self._reply(query, messages.RecordState.tombstone, now)

    def _keeps(self, key: records.RecordKey, query: messages.AskRecord) -> bool:
        """Return whether a running query of this agent goes first.

        A query that found the key unknown is about to start it, so the key
        can no longer be ceded.
        """
        own_query = self.key_queries.get(key)
        if own_query is None:
            return False
        return (
            query.read_only
            or own_query.outcome is key_queries.QueryOutcome.unknown
            or self._outranks(query)
        )

    def _cede(
        self,
        key: records.RecordKey,
        query: messages.AskRecord,
        now: float,
    ) -> bool:
        sender = query.sender.id
        if self.closed:
            return False
        if not self.records.add_tombstone(
            key, sender, now + query.retention_s, now
        ):
            return False
        own_query = self.key_queries.pop(key, None)
        if own_query is not None:
            own_query.redirect_to(sender)
        return True

    def _outranks(self, query: messages.AskRecord) -> bool:
        own_score = views.score(query.tenant, query.key, self.view.own.id)
        return own_score > views.score(query.tenant, query.key, query.sender.id)

    def _reply(
        self,
        query: messages.AskRecord,
        state: messages.RecordState,
        now: float,
        owner: ids.MemberId | None = None,
    ) -> messages.RecordReply:
        guarantees = self.guarantees(now, query.retention_s)
        return messages.RecordReply(
            request=query.request,
            state=state,
            incarnation=self.view.own.incarnation,
            stable=guarantees.stable,
            owner=owner,
            clean=guarantees.clean,
        )
