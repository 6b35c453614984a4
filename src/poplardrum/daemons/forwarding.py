"""Forwarding of one request from an entry to the owner of its key."""

import asyncio
import enum
import time
import typing

import msgspec

from poplardrum import errors, ids
from poplardrum.peers import links, messages

if typing.TYPE_CHECKING:
    from poplardrum.daemons import router

Request = messages.SubmitJob | messages.FetchJob | messages.CancelJob

_MAX_REDIRECTS: typing.Final = 8
_RETRY_INTERVAL_S: typing.Final = 0.05
# Time for a closed link to be re-established, or for a stop to complete,
# before an attempt that is not the first is answered as indeterminate.
_RECONNECT_GRACE_S: typing.Final = 1.0
# Time beyond the silence limit after which no agent is expected to accept
# the request.
_SILENCE_MARGIN_S: typing.Final = 2.0
_RETRY_ELSEWHERE_CODES: typing.Final = frozenset(
    (errors.Code.stopping, errors.Code.unavailable),
)


class Loss(enum.Enum):
    """Why a request has no reply."""

    # It was never written: it may be sent unchanged to another agent.
    unsent = 'unsent'
    # The link closed after the request may have been read.
    maybe_read = 'maybe_read'


Reply = messages.JobReply | Loss


class Forwarding:
    """Forward one request, with retries, until it has an answer."""

    def __init__(
        self,
        request_router: 'router.Router',
        item: Request,
        region: str,
        timeout: float,
    ) -> None:
        """Forward `item` within `timeout` seconds."""
        self.router = request_router
        self.process = request_router.process
        self.item = item
        self.region = region
        self.started_at = time.monotonic()
        self.deadline = self.started_at + timeout
        self.first = getattr(item, 'first', False)
        self.ranked_agents: list[messages.Member] = []
        self.redirects = 0
        self.target: ids.MemberId | None = None
        self.retry_until: float | None = None
        self.waiting_since: float | None = None

    async def run(self) -> messages.Answer:
        """Return the answer of the request.

        Without one, the verdict of the raised error tells whether the request
        may have run.
        """
        while True:
            link = self.choose_link()
            if link is None:
                await self.wait_for_agent(_RECONNECT_GRACE_S)
                continue
            reply = await self.router.exchange(
                self.prepare(link),
                link,
                max(0, self.deadline - time.monotonic()),
            )
            answer = await self.handle_reply(reply, link)
            if answer is not None:
                return answer

    def choose_link(self) -> links.Link | None:
        """Return the link to the owner or to the first ready agent in rank."""
        # Ranking hashes every agent's id, so it is done once per try.
        self.ranked_agents = self.router.ranked(self.item, self.region)
        if self.target is not None:
            return self.process.link_to(self.target)
        for member in self.ranked_agents:
            link = self.process.link_to(member.id)
            if link and link.member.state is messages.MemberState.ready:
                return link
        return None

    def prepare(self, link: links.Link) -> Request:
        """Return the request as it is sent on a link now."""
        request = self.router.next_request()
        if not isinstance(self.item, messages.SubmitJob):
            return msgspec.structs.replace(self.item, request=request)
        now = time.monotonic()
        return msgspec.structs.replace(
            self.item,
            request=request,
            first=self.first,
            deadline_ms=self.item.client_timeout_ms
            - (now - self.started_at) * 1000,
            unreachable=self.passed_over_before(link.member.id, now),
        )

    def passed_over_before(
        self,
        target: ids.MemberId,
        now: float,
    ) -> list[ids.MemberId]:
        """Return the agents ranked above `target` that may be passed over."""
        passed_over: list[ids.MemberId] = []
        for member in self.ranked_agents:
            if member.id == target:
                break
            if self.process.reachability.can_pass_over(member, now):
                passed_over.append(member.id)
        return passed_over

    async def handle_reply(
        self,
        reply: Reply,
        link: links.Link,
    ) -> messages.Answer | None:
        """Return the final answer, or `None` to send the request again."""
        if isinstance(reply, Loss):
            await self.handle_loss(reply, link)
            return None
        if reply.redirect is not None:
            self.follow_redirect(reply.redirect)
            return None
        answer = reply.answer
        if answer.code in _RETRY_ELSEWHERE_CODES:
            self.target = None
            silence = self.process.settings.peers.silence
            await self.wait_for_agent(silence + _SILENCE_MARGIN_S)
            return None
        if answer.code is errors.Code.indeterminate and self.may_retry():
            self.target = None
            await asyncio.sleep(_RETRY_INTERVAL_S)
            return None
        return answer

    async def handle_loss(self, loss: Loss, link: links.Link) -> None:
        """Prepare to resend a request whose link has closed."""
        self.target = None
        if loss is Loss.unsent:
            await self.wait_for_agent(_RECONNECT_GRACE_S)
            return
        # The coordinator may have read it: no longer a first attempt.
        self.first = False
        deadline = time.monotonic() + _RECONNECT_GRACE_S
        while self.may_reconnect(link) and time.monotonic() < deadline:
            await asyncio.sleep(_RETRY_INTERVAL_S / 5)

    def may_reconnect(self, link: links.Link) -> bool:
        """Return whether the coordinator of a closed link may reconnect."""
        failed_dial = self.process.failed_dials.get(link.member.id)
        refused = failed_dial is not None and failed_dial.refused
        member = self.process.view.get(link.member.id)
        if refused or member is None:
            return False
        is_gone = member.state is messages.MemberState.gone
        return not is_gone and self.process.link_to(member.id) is None

    def follow_redirect(self, owner: ids.MemberId) -> None:
        """Send the request next to the agent that a reply names."""
        self.redirects += 1
        if self.redirects > _MAX_REDIRECTS:
            raise errors.uncertain_outcome(
                errors.Code.indeterminate,
                'the agents disagree about the owner of this key',
            )
        self.target = owner

    def may_retry(self) -> bool:
        """Return whether an indeterminate request may be sent again."""
        now = time.monotonic()
        if self.retry_until is None:
            self.retry_until = now + _RECONNECT_GRACE_S
        return now < min(self.retry_until, self.deadline)

    async def wait_for_agent(self, timeout: float) -> None:
        """Wait one retry interval for an agent; raise after the timeout.

        `timeout` is in seconds from the first call without an agent.
        """
        now = time.monotonic()
        if self.waiting_since is None:
            self.waiting_since = now
        if now < min(self.waiting_since + timeout, self.deadline):
            await asyncio.sleep(_RETRY_INTERVAL_S)
            return
        if self.target is not None:
            raise errors.uncertain_outcome(
                errors.Code.indeterminate,
                'the coordinator of this key cannot be reached',
            )
        verdict = errors.Verdict.may_have_run
        if self.first:
            verdict = errors.Verdict.not_run
        raise errors.PoplardrumError(
            errors.Code.unavailable,
            verdict,
            f'no agent of region {self.region} can take the request',
            retry_after=1,
        )
