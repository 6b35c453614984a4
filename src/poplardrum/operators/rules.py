"""Rules that operators write as INI files, merged into typed objects."""

import typing

import msgspec

from poplardrum import errors, ids, ini
from poplardrum.operators import options


class TenantRule(msgspec.Struct, frozen=True):
    """A tenant's credential, share of the fleet, home region and quotas."""

    credential_sha256: str = ''
    share: float = 1.0
    region: str = ''
    max_jobs: int = 1000
    max_tasks: int = 20000


class ClassRule(msgspec.Struct, frozen=True):
    """A job class; a lower `urgency` goes first, `deadline` is in seconds."""

    urgency: int = 5
    deadline: float = 60.0


class KindRule(msgspec.Struct, frozen=True):
    """A task kind; `declared` is its usual time in seconds."""

    declared: float = 0.2


class WorkerRule(msgspec.Struct, frozen=True):
    """The state that operators require of a worker."""

    state: str = 'ready'


class LimitsRule(msgspec.Struct, frozen=True):
    """Limits for all entries; times in seconds."""

    max_tasks_per_job: int = 710
    max_wait: float = 30.0


class PlacementRule(msgspec.Struct, frozen=True):
    """The policy that places tasks at workers."""

    policy: str = 'late_binding'


class Rules(msgspec.Struct, frozen=True):
    """The rules of all files."""

    tenants: dict[ids.TenantName, TenantRule] = {}
    classes: dict[ids.JobClassName, ClassRule] = {}
    kinds: dict[ids.TaskKindName, KindRule] = {}
    workers: dict[ids.MemberId, WorkerRule] = {}
    limits: LimitsRule = LimitsRule()
    placement: PlacementRule = PlacementRule()


class ConvertedOption(typing.NamedTuple):
    """The value of an option and its file, line and section."""

    value: typing.Any
    location: str


class Problem(typing.NamedTuple):
    """What is wrong at a place; a syntax error has it in the message."""

    location: str
    message: str


SectionKey = tuple[str, str]

# Further problems are only counted, to keep the message readable.
_MAX_LISTED_PROBLEMS: typing.Final = 20

_NAMED_SECTIONS: typing.Final[typing.Mapping[str, type]] = {
    'tenant': TenantRule,
    'class': ClassRule,
    'kind': KindRule,
    'worker': WorkerRule,
}
_UNNAMED_SECTIONS: typing.Final[typing.Mapping[str, type]] = {
    'limits': LimitsRule,
    'placement': PlacementRule,
}


def merge(files: typing.Mapping[str, str]) -> Rules:
    """Merge files in the order of their names.

    Raises `rules` if any of them is invalid. The message has a line for each
    problem, with file, line, section and option.
    """
    merger = Merger()
    for file_name in sorted(files):
        merger.add_file(files[file_name], file_name)
    merger.check_tenants()
    if merger.problems:
        raise errors.refusal(
            errors.Code.rules, _format_problems(merger.problems)
        )
    return merger.build()


class Merger:
    """Collects the options of all files and the problems found in them."""

    def __init__(self) -> None:
        """Start without options."""
        self.sections: dict[SectionKey, dict[str, ConvertedOption]] = {}
        self.section_locations: dict[SectionKey, str] = {}
        self.problems: list[Problem] = []

    def add_file(self, text: str, file_name: str) -> None:
        """Add a file; its options override those of earlier files."""
        try:
            sections = ini.parse(text, file_name, errors.Code.rules)
        except errors.PoplardrumError as error:
            self.problems.append(Problem('', error.message))
            return
        for section in sections.values():
            self._add_section(section)

    def check_tenants(self) -> None:
        """Find tenants without a credential or with that of another one."""
        tenants: dict[str, str] = {}
        for key, converted in self.sections.items():
            if key[0] != 'tenant':
                continue
            credential = converted.get('credential_sha256')
            if credential is None:
                self._add_problem(
                    self.section_locations[key], 'missing credential_sha256'
                )
                continue
            other = tenants.setdefault(credential.value, key[1])
            if other != key[1]:
                self._add_problem(
                    credential.location,
                    f'the credential is already that of tenant {other}',
                )

    def build(self) -> Rules:
        """Return the typed rules; there must be no problems."""
        named: dict[str, dict[typing.Any, typing.Any]] = {
            group: {} for group in _NAMED_SECTIONS
        }
        single: dict[str, typing.Any] = {
            group: kind() for group, kind in _UNNAMED_SECTIONS.items()
        }
        for (group, name), converted in self.sections.items():
            values = {option: item.value for option, item in converted.items()}
            if group in _UNNAMED_SECTIONS:
                single[group] = _UNNAMED_SECTIONS[group](**values)
            else:
                named[group][name] = _NAMED_SECTIONS[group](**values)
        return Rules(
            tenants=named['tenant'],
            classes=named['class'],
            kinds=named['kind'],
            workers=named['worker'],
            limits=single['limits'],
            placement=single['placement'],
        )

    def _add_section(self, section: ini.Section) -> None:
        group, _, name = section.name.partition(' ')
        is_known = (
            group in _UNNAMED_SECTIONS and not name or group in _NAMED_SECTIONS
        )
        if not is_known:
            self._add_problem(section.location, 'unknown section')
            return
        if group in _NAMED_SECTIONS:
            try:
                ini.name(name)
            except ValueError as error:
                self._add_problem(section.location, str(error))
                return
        key = (group, name)
        self.section_locations.setdefault(key, section.location)
        merged = self.sections.setdefault(key, {})
        for option_name, option in section.options.items():
            self._add_option(group, option_name, option, merged)

    def _add_option(
        self,
        group: str,
        name: str,
        option: ini.Option,
        merged: dict[str, ConvertedOption],
    ) -> None:
        convert = options.CONVERTERS[group].get(name)
        if convert is None:
            self._add_problem(option.location, 'unknown option')
            return
        try:
            merged[name] = ConvertedOption(
                convert(option.text), option.location
            )
        except ValueError as error:
            self._add_problem(option.location, str(error))

    def _add_problem(self, location: str, message: str) -> None:
        self.problems.append(Problem(location, message))


def _format_problems(problems: list[Problem]) -> str:
    shown = [
        ': '.join(filter(None, problem))
        for problem in problems[:_MAX_LISTED_PROBLEMS]
    ]
    if len(problems) > len(shown):
        shown.append(f'and {len(problems) - len(shown)} more')
    return '\n'.join(shown)
