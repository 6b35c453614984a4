"""Checks of rule files before they are sent, beyond what an entry refuses."""

import contextlib
import dataclasses
import typing

from poplardrum import errors, findings, ini
from poplardrum.operators import document as documents
from poplardrum.operators import folder, rules, syntax_checks

Findings = typing.Iterator[findings.Finding]


@dataclasses.dataclass(frozen=True)
class Reading:
    """Rule files as far as they can be read, and the errors in them.

    `sections` are those of all files, in the order in which they are merged.
    """

    sections: list[ini.Section]
    merger: rules.Merger
    errors: list[findings.Finding]

    def place(self, group: str, name: str = '', option: str = '') -> str:
        """Return where an option stands, else its section, else its name."""
        key = (group, name)
        converted = self.merger.sections.get(key, {}).get(option)
        if converted:
            return converted.location
        title = f'[{group} {name}]' if name else f'[{group}]'
        return self.merger.section_locations.get(key, title)

    def is_set(self, group: str, name: str, option: str) -> bool:
        """Return whether a section has an option, which is else a default."""
        return option in self.merger.sections.get((group, name), {})


def read(files: typing.Mapping[str, str]) -> Reading:
    """Read all files, and continue after each error."""
    reading = Reading([], rules.Merger(), [])
    for name in sorted(files):
        text, problems = syntax_checks.repair(files[name], name)
        reading.errors.extend(
            findings.error(problem.location, problem.message)
            for problem in problems
        )
        reading.merger.add_file(text, name)
        with contextlib.suppress(errors.PoplardrumError):
            reading.sections.extend(
                ini.parse(text, name, errors.Code.rules).values()
            )
    reading.merger.check_tenants()
    reading.errors.extend(
        findings.error(*problem) for problem in reading.merger.problems
    )
    return reading


def check(
    files: typing.Mapping[str, str], bounds: documents.Bounds
) -> list[findings.Finding]:
    """Return errors, entries without effect and contradictions.

    Limits are compared only if there is no error.
    """
    reading = read(files)
    found = [*reading.errors, *_hidden_entries(reading)]
    if not reading.errors:
        try:
            folder.validate(files, bounds)
        except errors.PoplardrumError as error:
            return [findings.error('', error.message), *found]
        merged = reading.merger.build()
        found.extend(_contradicting_quotas(reading, merged))
        found.extend(_contradicting_times(reading, merged))
        found.extend(_contradicting_limits(reading, merged))
    return found


def compare(
    old_files: typing.Mapping[str, str], new_files: typing.Mapping[str, str]
) -> list[findings.Finding]:
    """Return what differs in effect, by section and option.

    `1 s` and `1000 ms` do not differ, nor does a move to another file.
    """
    old, new = read(old_files), read(new_files)
    old_values, new_values = _option_values(old), _option_values(new)
    new_texts = _option_texts(new)
    old_texts = {
        location: new_texts[location]
        if location in new_texts
        and old_values.get(location) == new_values.get(location)
        else text
        for location, text in _option_texts(old).items()
    }
    return findings.differences(old_texts, new_texts)


def _hidden_entries(reading: Reading) -> Findings:
    last = {
        (section.name, name): option
        for section in reading.sections
        for name, option in section.options.items()
    }
    for section in reading.sections:
        hidden = {
            option.location: last[section.name, name].location
            for name, option in section.options.items()
            if last[section.name, name] is not option
        }
        if hidden and len(hidden) == len(section.options):
            places = ', '.join(hidden.values())
            yield findings.warning(
                section.location, f'never takes effect, overridden at {places}'
            )
        else:
            for location, place in hidden.items():
                yield findings.warning(location, f'overridden at {place}')
        group, _, name = section.name.partition(' ')
        if not section.options and (group, name) in reading.merger.sections:
            yield findings.warning(
                section.location, 'a section without options'
            )
    yield from _similar_names(reading)


def _similar_names(reading: Reading) -> Findings:
    seen: dict[tuple[str, str], tuple[str, str]] = {}
    for group, name in reading.merger.sections:
        folded = (group, name.casefold())
        other = seen.setdefault(folded, (group, name))[1]
        if other != name:
            yield findings.warning(
                reading.place(group, name),
                f'differs from [{group} {other}] only in upper and lower case',
            )


def _contradicting_quotas(reading: Reading, merged: rules.Rules) -> Findings:
    if not merged.tenants:
        yield findings.warning(
            '[tenant]', 'no tenant, so that no request is accepted'
        )
    widest = merged.limits.max_tasks_per_job
    for name, rule in merged.tenants.items():
        for option in ('max_jobs', 'max_tasks'):
            if not getattr(rule, option):
                yield findings.warning(
                    reading.place('tenant', name, option),
                    'no job of this tenant is admitted',
                )
        if 0 < rule.max_tasks < widest:
            yield findings.warning(
                reading.place('tenant', name, 'max_tasks'),
                f'jobs of more than {rule.max_tasks} tasks are never admitted, '
                f'though max_tasks_per_job is {widest}',
            )
        is_set = reading.is_set('tenant', name, 'max_jobs')
        if is_set and 0 < rule.max_tasks < rule.max_jobs:
            yield findings.warning(
                reading.place('tenant', name, 'max_jobs'),
                f'{rule.max_jobs} jobs are never reached, since each has a '
                f'task and max_tasks is {rule.max_tasks}',
            )


def _contradicting_times(reading: Reading, merged: rules.Rules) -> Findings:
    times = [kind.declared for kind in merged.kinds.values()]
    for name, rule in merged.classes.items():
        if times and rule.deadline < min(times):
            yield findings.warning(
                reading.place('class', name, 'deadline'),
                f'{rule.deadline:g} s is below the declared time of each kind',
            )
    longest = _longest_deadline(merged)
    for kind_name, kind in merged.kinds.items():
        if kind.declared > longest:
            yield findings.warning(
                reading.place('kind', kind_name, 'declared'),
                f'{kind.declared:g} s is above the deadline of each class, at '
                f'most {longest:g} s',
            )


def _contradicting_limits(reading: Reading, merged: rules.Rules) -> Findings:
    limits = merged.limits
    longest = _longest_deadline(merged)
    if limits.max_wait > longest:
        yield findings.warning(
            reading.place('limits', option='max_wait'),
            f'{limits.max_wait:g} s is above the deadline of each class, at '
            f'most {longest:g} s',
        )
    usual = rules.LimitsRule().max_tasks_per_job
    if limits.max_tasks_per_job > usual:
        yield findings.warning(
            reading.place('limits', option='max_tasks_per_job'),
            f'has no effect above {usual}, unless the settings of the entries '
            'allow more tasks',
        )


def _longest_deadline(merged: rules.Rules) -> float:
    # Callers may name a class that has no rule.
    rules_of_classes = (rules.ClassRule(), *merged.classes.values())
    return max(rule.deadline for rule in rules_of_classes)


def _option_values(reading: Reading) -> dict[str, typing.Any]:
    return {
        f'[{" ".join(filter(None, key))}] {option}': converted.value
        for key, section in reading.merger.sections.items()
        for option, converted in section.items()
    }


def _option_texts(reading: Reading) -> dict[str, str]:
    texts: dict[str, str] = {}
    for section in reading.sections:
        title = f'[{section.name.strip()}]'
        if not section.options:
            texts.setdefault(title, '(no options)')
        for name, option in section.options.items():
            texts[f'{title} {name}'] = option.text
    return texts
