"""Requests of an entry to coordinators, and their replies."""

import asyncio
import dataclasses
import itertools
import time
import typing

import msgspec

from poplardrum import errors, ids
from poplardrum.coordination import views
from poplardrum.daemons import forwarding
from poplardrum.peers import handlers, links, messages

if typing.TYPE_CHECKING:
    from poplardrum.daemons import entry

_MAX_HINTS: typing.Final = 64


@dataclasses.dataclass
class Pending:
    """Request without a reply so far."""

    item: forwarding.Request
    link: links.Link
    reply: asyncio.Future[forwarding.Reply]


class Router:
    """Send requests to the coordinator that owns their key."""

    def __init__(self, process: 'entry.Entry') -> None:
        """Create a router without pending requests."""
        self.process = process
        self.request_numbers = itertools.count(1)
        self.pending: dict[ids.RequestId, Pending] = {}

    def next_request(self) -> ids.RequestId:
        """Return a new request id."""
        return ids.RequestId(next(self.request_numbers))

    def hints(self, region: str) -> list[messages.Hint]:
        """Return the loads that ready agents report, most free slots first."""
        hints = [
            messages.Hint(link.member.id, link.load)
            for link in self.process.links.values()
            if link.load
            and link.member.region == region
            and link.member.state is messages.MemberState.ready
        ]
        hints.sort(key=lambda hint: hint.load.free_slots, reverse=True)
        return hints[:_MAX_HINTS]

    def unreachable(self, region: str) -> list[ids.MemberId]:
        """Return the agents of a region that may be passed over."""
        now = time.monotonic()
        return [
            member.id
            for member in self.process.view.agents(region)
            if self.process.reachability.can_pass_over(member, now)
        ]

    async def call(
        self,
        item: forwarding.Request,
        region: str,
        timeout: float,
    ) -> messages.Answer:
        """Send a request to its coordinator and return the answer.

        Raises `unavailable`, `indeterminate` or `deadline` without an answer;
        the verdict of the error tells whether the request may have run. Only
        `unavailable` may say that it has not.
        """
        if isinstance(item, messages.SubmitJob):
            first = item.first and not self.process.was_recently_paused()
            item = msgspec.structs.replace(
                item,
                first=first,
                client_timeout_ms=item.deadline_ms,
            )
        return await forwarding.Forwarding(self, item, region, timeout).run()

    def ranked(
        self,
        item: forwarding.Request,
        region: str,
    ) -> list[messages.Member]:
        """Return the agents of a region, the best for the key first."""
        agents = self.process.view.agents(region)
        return views.rank(item.tenant, item.key, agents)

    async def exchange(
        self,
        item: forwarding.Request,
        link: links.Link,
        timeout: float,
    ) -> forwarding.Reply:
        """Send a request once; return its reply or how it was lost.

        Raises `deadline` after `timeout` seconds.
        """
        pending = Pending(
            item,
            link,
            asyncio.get_running_loop().create_future(),
        )
        self.pending[item.request] = pending
        try:
            if not link.send(item):
                return forwarding.Loss.unsent
            async with asyncio.timeout(timeout):
                return await pending.reply
        except TimeoutError:
            raise errors.uncertain_outcome(
                errors.Code.deadline,
                'no answer within the deadline',
            ) from None
        finally:
            self.pending.pop(item.request, None)

    def resolve(
        self,
        request: ids.RequestId,
        outcome: forwarding.Reply,
        link: links.Link | None = None,
    ) -> None:
        """Resolve a pending request; repeated replies have no effect."""
        pending = self.pending.get(request)
        if pending is None or pending.reply.done():
            return
        if link is None or pending.link is link:
            pending.reply.set_result(outcome)

    def link_down(self, link: links.Link) -> None:
        """Resolve the requests on a closed link as lost."""
        for request, pending in list(self.pending.items()):
            if pending.link is link:
                self.resolve(request, forwarding.Loss.maybe_read)


@handlers.receive.register(messages.JobReply)
def _job_reply(
    item: messages.JobReply,
    process: 'entry.Entry',
    link: links.Link,
) -> None:
    process.router.resolve(item.request, item, link)


@handlers.handle_unsent.register(messages.SubmitJob)
@handlers.handle_unsent.register(messages.FetchJob)
@handlers.handle_unsent.register(messages.CancelJob)
def _unsent(
    item: forwarding.Request,
    process: 'entry.Entry',
) -> None:
    process.router.resolve(item.request, forwarding.Loss.unsent)
