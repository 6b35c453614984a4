"""Choice of a job's coordinator and the requests that wait for replies."""

import asyncio
import dataclasses
import itertools
import typing

from poplardrum import errors, ids
from poplardrum.coordination import views
from poplardrum.peers import dispatch, links, messages

if typing.TYPE_CHECKING:
    from poplardrum.daemons import entry

_MAX_REDIRECTS: typing.Final = 4
_MAX_HINTS: typing.Final = 64

Request = messages.SubmitJob | messages.FetchJob | messages.CancelJob


@dataclasses.dataclass
class Pending:
    """A request whose reply has not come yet."""

    item: Request
    link: links.Link
    reply: asyncio.Future[messages.JobReply]


class Router:
    """Send requests to the coordinator that owns their key."""

    def __init__(self, process: 'entry.Entry') -> None:
        """Start without requests."""
        self.process = process
        self.numbers = itertools.count(1)
        self.pending: dict[ids.RequestId, Pending] = {}

    def next_request(self) -> ids.RequestId:
        """Return a number for a request of this entry."""
        return ids.RequestId(next(self.numbers))

    def hints(self, region: str) -> list[messages.Hint]:
        """Return what the links to ready agents say of their load."""
        found = [
            messages.Hint(link.member.id, link.load)
            for link in self.process.links.values()
            if link.load
            and link.member.region == region
            and link.member.state is messages.MemberState.ready
        ]
        found.sort(key=lambda hint: hint.load.free, reverse=True)
        return found[:_MAX_HINTS]

    def unreachable(self, region: str) -> list[ids.MemberId]:
        """Return the agents of a region without a live link."""
        return [
            member.id
            for member in self.process.view.agents(region)
            if self.process.link_to(member.id) is None
        ]

    async def call(
        self,
        item: Request,
        region: str,
        timeout: float,
    ) -> messages.Answer:
        """Send a request to its coordinator and return the answer.

        Raises `unavailable` when nothing was sent, `link_lost` or `deadline`
        when the request may have run.
        """
        link = self.coordinator(item, region)
        for _ in range(_MAX_REDIRECTS):
            reply = await self._exchange(item, link, timeout)
            if reply.redirect is None:
                return reply.answer
            target = self.process.link_to(reply.redirect)
            if target is None:
                break
            link = target
        raise errors.uncertain(
            errors.Code.indeterminate,
            'the coordinator of this key cannot be reached',
        )

    def coordinator(self, item: Request, region: str) -> links.Link:
        """Return the link to the first agent in rank that can be reached."""
        agents = self.process.view.agents(region)
        for member in views.rank(item.tenant, item.key, agents):
            link = self.process.link_to(member.id)
            if link and link.member.state is messages.MemberState.ready:
                return link
        raise errors.refusal(
            errors.Code.unavailable,
            f'no agent of region {region} can be reached',
            retry_after=1,
        )

    async def _exchange(
        self,
        item: Request,
        link: links.Link,
        timeout: float,
    ) -> messages.JobReply:
        loop = asyncio.get_running_loop()
        pending = Pending(item, link, loop.create_future())
        self.pending[item.request] = pending
        try:
            if not link.send(item):
                raise errors.refusal(
                    errors.Code.unavailable,
                    'the link to the coordinator has just closed',
                    retry_after=1,
                )
            async with asyncio.timeout(timeout):
                return await pending.reply
        except TimeoutError:
            raise errors.uncertain(
                errors.Code.deadline,
                'no answer within the deadline',
            ) from None
        finally:
            self.pending.pop(item.request, None)

    def link_down(self, link: links.Link) -> None:
        """Fail the requests that waited for a reply on a broken link."""
        for pending in list(self.pending.values()):
            if pending.link is link and not pending.reply.done():
                pending.reply.set_exception(
                    errors.uncertain(
                        errors.Code.link_lost,
                        'the link to the coordinator broke',
                    ),
                )


@dispatch.receive.register(messages.JobReply)
def _job_reply(
    item: messages.JobReply,
    process: 'entry.Entry',
    link: links.Link,
) -> None:
    pending = process.router.pending.get(item.request)
    if pending and pending.link is link and not pending.reply.done():
        pending.reply.set_result(item)
