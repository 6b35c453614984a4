"""Messages of an agent's inquiries about keys."""

import asyncio
import itertools
import time
import typing

from poplardrum import ids
from poplardrum.coordination import key_queries, records
from poplardrum.peers import dispatch, links, messages

if typing.TYPE_CHECKING:
    from poplardrum.daemons import agent

# A live agent answers at once; a longer silence makes the outcome doubtful.
_REPLY_SECONDS: typing.Final = 2.0

Answer = messages.RecordReply | messages.HandOverAck


class Inquirer:
    """Ask other agents and wait for their replies."""

    def __init__(self, process: 'agent.Agent') -> None:
        """Start without questions."""
        self.process = process
        self.numbers = itertools.count(1)
        self.open: dict[
            ids.RequestId,
            tuple[links.Link, asyncio.Future[Answer | None]],
        ] = {}

    async def run(
        self,
        key: records.RecordKey,
        inquiry: key_queries.KeyQuery,
    ) -> None:
        """Ask until the inquiry has an outcome."""
        while inquiry.outcome is None:
            asks = {
                asyncio.ensure_future(self.ask(key, inquiry, member))
                for member in inquiry.next_batch()
            }
            try:
                while asks and inquiry.outcome is None:
                    _, asks = await asyncio.wait(
                        asks,
                        return_when=asyncio.FIRST_COMPLETED,
                    )
            finally:
                for ask in asks:
                    ask.cancel()

    async def ask(
        self,
        key: records.RecordKey,
        inquiry: key_queries.KeyQuery,
        member: ids.MemberId,
    ) -> None:
        """Ask one agent and pass its reply to the inquiry."""
        attempt = inquiry.attempt
        reply = await self.exchange(
            member,
            messages.AskRecord(
                self.next_request(),
                *key,
                self.process.member,
                attempt.retention_s,
                attempt.read_only,
            ),
        )
        if isinstance(reply, messages.RecordReply):
            inquiry.handle_reply(member, reply)
        else:
            inquiry.handle_failure(member)

    def next_request(self) -> ids.RequestId:
        """Return a number for a question of this agent."""
        return ids.RequestId(next(self.numbers))

    async def exchange(
        self,
        member: ids.MemberId,
        item: messages.AskRecord | messages.HandOver,
    ) -> Answer | None:
        """Send a question; return `None` if no answer can be had."""
        deadline = time.monotonic() + _REPLY_SECONDS
        link = await self.process.reach(member, _REPLY_SECONDS)
        if link is None:
            return None
        reply: asyncio.Future[Answer | None] = (
            asyncio.get_running_loop().create_future()
        )
        self.open[item.request] = (link, reply)
        try:
            if not link.send(item):
                return None
            async with asyncio.timeout(deadline - time.monotonic()):
                return await reply
        except TimeoutError:
            return None
        finally:
            self.open.pop(item.request, None)

    def settle(self, item: Answer, link: links.Link) -> None:
        """Take an answer that came on the link of its question."""
        asked, reply = self.open.get(item.request, (None, None))
        if asked is link and reply is not None and not reply.done():
            reply.set_result(item)

    def link_down(self, link: links.Link) -> None:
        """End the questions that were sent on a broken link."""
        for asked, reply in self.open.values():
            if asked is link and not reply.done():
                reply.set_result(None)


@dispatch.receive.register(messages.RecordReply)
@dispatch.receive.register(messages.HandOverAck)
def _answer(
    item: Answer,
    process: 'agent.Agent',
    link: links.Link,
) -> None:
    process.submissions.inquirer.settle(item, link)


@dispatch.receive.register(messages.AskRecord)
def _ask_record(
    item: messages.AskRecord,
    process: 'agent.Agent',
    link: links.Link,
) -> None:
    process.member_seen(item.asker)
    link.send(process.submissions.ledger.answer_query(item, time.monotonic()))
