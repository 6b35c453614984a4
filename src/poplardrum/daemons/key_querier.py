"""Messages of an agent's inquiries about keys."""

import asyncio
import itertools
import time
import typing

from poplardrum import ids
from poplardrum.coordination import key_queries, records
from poplardrum.peers import handlers, links, messages

if typing.TYPE_CHECKING:
    from poplardrum.daemons import agent

# A live agent answers at once; a longer silence makes the outcome doubtful.
_REPLY_TIMEOUT_S: typing.Final = 2.0

Reply = messages.RecordReply | messages.HandOverAck


class KeyQuerier:
    """Ask other agents and wait for their replies."""

    def __init__(self, process: 'agent.Agent') -> None:
        """Start without questions."""
        self.process = process
        self.numbers = itertools.count(1)
        self.pending: dict[
            ids.RequestId,
            tuple[links.Link, asyncio.Future[Reply | None]],
        ] = {}

    async def run(
        self,
        key: records.RecordKey,
        inquiry: key_queries.KeyQuery,
    ) -> None:
        """Ask until the inquiry has an outcome."""
        while inquiry.outcome is None:
            asks = {
                asyncio.ensure_future(self.query_agent(key, inquiry, member))
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

    async def query_agent(
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
    ) -> Reply | None:
        """Send a question; return `None` if no answer can be had."""
        deadline = time.monotonic() + _REPLY_TIMEOUT_S
        link = await self.process.connect(member, _REPLY_TIMEOUT_S)
        if link is None:
            return None
        reply: asyncio.Future[Reply | None] = (
            asyncio.get_running_loop().create_future()
        )
        self.pending[item.request] = (link, reply)
        try:
            if not link.send(item):
                return None
            async with asyncio.timeout(deadline - time.monotonic()):
                return await reply
        except TimeoutError:
            return None
        finally:
            self.pending.pop(item.request, None)

    def resolve(self, item: Reply, link: links.Link) -> None:
        """Take an answer that came on the link of its question."""
        asked, reply = self.pending.get(item.request, (None, None))
        if asked is link and reply is not None and not reply.done():
            reply.set_result(item)

    def link_down(self, link: links.Link) -> None:
        """End the questions that were sent on a broken link."""
        for asked, reply in self.pending.values():
            if asked is link and not reply.done():
                reply.set_result(None)


@handlers.receive.register(messages.RecordReply)
@handlers.receive.register(messages.HandOverAck)
def _answer(
    item: Reply,
    process: 'agent.Agent',
    link: links.Link,
) -> None:
    process.submissions.inquirer.resolve(item, link)


@handlers.receive.register(messages.AskRecord)
def _ask_record(
    item: messages.AskRecord,
    process: 'agent.Agent',
    link: links.Link,
) -> None:
    process.update_member(item.sender)
    link.send(
        process.submissions.key_ownership.answer_query(item, time.monotonic())
    )
