"""Announcements of the endpoint that runs on the host of an agent."""

import dataclasses
import enum
import typing

import msgspec
from aiohttp import web

from poplardrum import decoding

ANNOUNCEMENT_TIMEOUT_S: typing.Final = 3.5


class EndpointState(enum.Enum):
    """State that an endpoint announces."""

    ready = 'ready'
    leaving = 'leaving'


TaskName = typing.Annotated[
    str,
    msgspec.Meta(pattern=r'^[^.]+\.[0-9]{1,9}$', max_length=256),
]


class Announcement(msgspec.Struct, frozen=True):
    """Body of `POST /announce`.

    `running` lists the tasks that the endpoint runs, so that a restarted
    agent does not use their slots.
    """

    endpoint: str
    address: str
    slots: typing.Annotated[int, msgspec.Meta(ge=1, le=4096)]
    state: EndpointState = EndpointState.ready
    running: tuple[TaskName, ...] = ()


@dataclasses.dataclass
class EndpointStatus:
    """Latest announcement and its arrival time in monotonic seconds."""

    announcement: Announcement | None = None
    announced_at: float = 0

    def update(self, announcement: Announcement, now: float) -> bool:
        """Store an announcement; return whether it differs from the last."""
        changed = announcement != self.announcement
        self.announcement = announcement
        self.announced_at = now
        return changed

    def suspend(self) -> None:
        """Treat the endpoint as unusable until its next announcement."""
        self.announced_at = float('-inf')

    def is_usable(self, now: float) -> bool:
        """Return whether new tasks may be sent to the endpoint."""
        return (
            self.announcement is not None
            and self.announcement.state is EndpointState.ready
            and now - self.announced_at < ANNOUNCEMENT_TIMEOUT_S
        )

    def slots(self) -> int:
        """Return the number of slots in the latest announcement."""
        return self.announcement.slots if self.announcement else 0


def decode(body: bytes) -> Announcement:
    """Decode an announcement; raise HTTP 400 with the invalid field."""
    try:
        return decoding.decode_json(body, Announcement)
    except msgspec.DecodeError as error:
        raise web.HTTPBadRequest(text=f'announcement: {error}') from None
