"""Decisions of one agent about keys: what it says, grants and starts."""

import typing

from poplardrum import ids
from poplardrum.coordination import inquiries, records, stability, views
from poplardrum.peers import messages

# Time in seconds beyond deadline and window, for the last answer of a job.
HOLD_MARGIN: typing.Final = 30.0


class Ledger:
    """Hold records, tombstones and running inquiries of one agent."""

    def __init__(
        self,
        view: views.View,
        kept: records.Records,
        steadiness: stability.Stability,
    ) -> None:
        """Decide by the given view, records and stability."""
        self.view = view
        self.records = kept
        self.stability = steadiness
        self.inquiries: dict[records.RecordKey, inquiries.Inquiry] = {}
        # After the hand-over began, no promise can be given any more.
        self.closed = False

    def hold(self, span: float) -> float:
        """Return how long records of a job with deadline `span` matter."""
        return span + self.records.window + HOLD_MARGIN

    def standing(self, now: float, hold: float) -> inquiries.Standing:
        """Return what this agent can say of itself."""
        entries = self.view.entries()
        ready = self.view.own.state is messages.MemberState.ready
        return inquiries.Standing(
            ready and self.stability.stable(now, hold, entries),
            self.stability.clean(now, hold),
        )

    def inquire(
        self,
        key: records.RecordKey,
        attempt: inquiries.Attempt,
        now: float,
    ) -> inquiries.Inquiry:
        """Start an inquiry about an unknown key."""
        own = self.view.own
        ranked = views.rank(*key, self.view.agents(own.region))
        inquiry = inquiries.Inquiry(
            own.id,
            [member.id for member in ranked],
            attempt,
            self.standing(now, attempt.hold),
        )
        if inquiry.outcome is None and not attempt.peek:
            self.inquiries[key] = inquiry
        return inquiry

    def settle(
        self,
        key: records.RecordKey,
        inquiry: inquiries.Inquiry,
    ) -> None:
        """Forget an inquiry that has ended."""
        if self.inquiries.get(key) is inquiry:
            self.inquiries.pop(key)

    def asked(
        self,
        ask: messages.AskRecord,
        now: float,
    ) -> messages.RecordReply:
        """Answer another agent."""
        key = (ask.tenant, ask.key)
        if key in self.records.by_key:
            return self._reply(ask, messages.RecordState.owned, now)
        owner = self.records.owner(key, now)
        if owner is not None and owner != ask.asker.id:
            elsewhere = messages.RecordState.elsewhere
            return self._reply(ask, elsewhere, now, owner)
        if key in self.inquiries and (ask.peek or self._outranks(ask)):
            return self._reply(ask, messages.RecordState.owned, now)
        granted = ask.peek or self._yield(key, ask, now)
        if self.closed or not granted:
            return self._reply(ask, messages.RecordState.unable, now)
        return self._reply(ask, messages.RecordState.tombstone, now)

    def _yield(
        self,
        key: records.RecordKey,
        ask: messages.AskRecord,
        now: float,
    ) -> bool:
        asker = ask.asker.id
        if self.closed:
            return False
        if not self.records.bury(key, asker, now + ask.hold, now):
            return False
        inquiry = self.inquiries.pop(key, None)
        if inquiry is not None:
            inquiry.redirect(asker)
        return True

    def _outranks(self, ask: messages.AskRecord) -> bool:
        own = views.score(ask.tenant, ask.key, self.view.own.id)
        return own > views.score(ask.tenant, ask.key, ask.asker.id)

    def _reply(
        self,
        ask: messages.AskRecord,
        state: messages.RecordState,
        now: float,
        owner: ids.MemberId | None = None,
    ) -> messages.RecordReply:
        standing = self.standing(now, ask.hold)
        return messages.RecordReply(
            request=ask.request,
            state=state,
            incarnation=self.view.own.incarnation,
            stable=standing.stable,
            owner=owner,
            clean=standing.clean,
        )
