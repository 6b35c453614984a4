"""Announcements of the endpoint beside an agent."""

import dataclasses
import enum
import typing

import msgspec
from aiohttp import web

ANNOUNCEMENT_TIMEOUT_S: typing.Final = 3.5


class EndpointState(enum.Enum):
    """What the endpoint says of itself."""

    ready = 'ready'
    leaving = 'leaving'


TaskName = typing.Annotated[
    str,
    msgspec.Meta(pattern=r'^[^.]+\.[0-9]{1,9}$', max_length=256),
]


class Announcement(msgspec.Struct, frozen=True):
    """Body of `POST /announce`.

    `running` names the tasks that run now, so that an agent that has been
    restarted does not use their slots.
    """

    endpoint: str
    address: str
    slots: typing.Annotated[int, msgspec.Meta(ge=1, le=4096)]
    state: EndpointState = EndpointState.ready
    running: tuple[TaskName, ...] = ()


@dataclasses.dataclass
class EndpointStatus:
    """The latest announcement and when it came, in monotonic seconds."""

    announcement: Announcement | None = None
    announced_at: float = 0

    def update(self, announcement: Announcement, now: float) -> bool:
        """Take an announcement; return whether it changed anything."""
        changed = announcement != self.announcement
        self.announcement = announcement
        self.announced_at = now
        return changed

    def suspend(self) -> None:
        """Offer no slots until the endpoint announces itself again."""
        self.announced_at = float('-inf')

    def is_usable(self, now: float) -> bool:
        """Tell whether new tasks may go to the endpoint."""
        return (
            self.announcement is not None
            and self.announcement.state is EndpointState.ready
            and now - self.announced_at < ANNOUNCEMENT_TIMEOUT_S
        )

    def slots(self) -> int:
        """Return the number of slots announced."""
        return self.announcement.slots if self.announcement else 0


def decode(body: bytes) -> Announcement:
    """Decode an announcement; raise HTTP 400 that names the field."""
    try:
        return msgspec.json.decode(body, type=Announcement)
    except msgspec.DecodeError as error:
        raise web.HTTPBadRequest(text=f'announcement: {error}') from None
