"""Requests of an agent to other agents about keys, and their replies."""

import asyncio
import itertools
import time
import typing

from poplardrum import ids
from poplardrum.coordination import key_queries, records
from poplardrum.peers import handlers, links, messages

if typing.TYPE_CHECKING:
    from poplardrum.daemons import agent

# A live agent replies at once; without a reply by then the outcome is
# uncertain.
_REPLY_TIMEOUT_S: typing.Final = 2.0

Reply = messages.RecordReply | messages.HandOverAck


class KeyQuerier:
    """Send requests to other agents and wait for their replies."""

    def __init__(self, process: 'agent.Agent') -> None:
        """Create a querier without pending requests."""
        self.process = process
        self.request_numbers = itertools.count(1)
        self.pending: dict[
            ids.RequestId,
            tuple[links.Link, asyncio.Future[Reply | None]],
        ] = {}

    async def run(
        self,
        key: records.RecordKey,
        query: key_queries.KeyQuery,
    ) -> None:
        """Query agents until the key query has an outcome."""
        while query.outcome is None:
            requests = {
                asyncio.ensure_future(self.query_agent(key, query, member))
                for member in query.next_batch()
            }
            try:
                while requests and query.outcome is None:
                    _, requests = await asyncio.wait(
                        requests,
                        return_when=asyncio.FIRST_COMPLETED,
                    )
            finally:
                for request in requests:
                    request.cancel()

    async def query_agent(
        self,
        key: records.RecordKey,
        query: key_queries.KeyQuery,
        member: ids.MemberId,
    ) -> None:
        """Query one agent and pass its reply to the key query."""
        attempt = query.attempt
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
            query.handle_reply(member, reply)
        else:
            query.handle_failure(member)

    def next_request(self) -> ids.RequestId:
        """Return a new request id."""
        return ids.RequestId(next(self.request_numbers))

    async def exchange(
        self,
        member: ids.MemberId,
        item: messages.AskRecord | messages.HandOver,
    ) -> Reply | None:
        """Send a request; return the reply, or `None` if there is none."""
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
        """Resolve a pending request if the reply came on its link."""
        request_link, reply = self.pending.get(item.request, (None, None))
        if request_link is link and reply is not None and not reply.done():
            reply.set_result(item)

    def link_down(self, link: links.Link) -> None:
        """End the requests that were sent on a closed link."""
        for request_link, reply in self.pending.values():
            if request_link is link and not reply.done():
                reply.set_result(None)


@handlers.receive.register(messages.RecordReply)
@handlers.receive.register(messages.HandOverAck)
def _answer(
    item: Reply,
    process: 'agent.Agent',
    link: links.Link,
) -> None:
    process.submissions.key_querier.resolve(item, link)


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
