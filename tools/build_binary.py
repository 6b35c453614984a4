"""Build the program as a single zip application with shiv, offline.

The runtime packages of requirements.txt are copied from the environment
that runs this tool, so that development tools are not included.
"""

import argparse
import importlib.metadata
import pathlib
import shutil
import subprocess
import sys
import tempfile
import typing

_ROOT: typing.Final = pathlib.Path(__file__).resolve().parent.parent
_REQUIREMENTS_FILE: typing.Final = _ROOT / 'requirements.txt'
_PACKAGE_FOLDER: typing.Final = _ROOT / 'src' / 'poplardrum'


def read_requirements() -> list[str]:
    """Return the names of the packages in requirements.txt."""
    lines = _REQUIREMENTS_FILE.read_text(encoding='utf-8').splitlines()
    return [
        line.partition('==')[0].strip()
        for line in lines
        if line.strip() and not line.startswith('#')
    ]


def copy_distribution(name: str, target: pathlib.Path) -> None:
    """Copy the files of an installed package, without its scripts."""
    distribution = importlib.metadata.distribution(name)
    for entry in distribution.files or ():
        if '..' in entry.parts or '__pycache__' in entry.parts:
            continue
        destination = target / entry
        destination.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(str(distribution.locate_file(entry)), destination)


def stage_files(target: pathlib.Path) -> None:
    """Copy the program and its runtime packages to a folder."""
    for name in read_requirements():
        copy_distribution(name, target)
    shutil.copytree(
        _PACKAGE_FOLDER,
        target / 'poplardrum',
        ignore=shutil.ignore_patterns('__pycache__'),
    )


def build(output: pathlib.Path) -> None:
    """Write the binary; raise `CalledProcessError` if shiv fails."""
    output.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as folder:
        stage_files(pathlib.Path(folder))
        subprocess.run(
            [
                sys.executable,
                '-m',
                'shiv',
                '--site-packages',
                folder,
                '--entry-point',
                'poplardrum.start:main',
                '--python',
                '/usr/bin/env python3',
                '--compressed',
                '--reproducible',
                '--output-file',
                str(output),
            ],
            check=True,
        )


def main() -> int:
    """Build the binary at the path that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        'output',
        nargs='?',
        type=pathlib.Path,
        default=_ROOT / 'dist' / 'poplardrum',
    )
    output = parser.parse_args().output
    build(output)
    print(f'{output.name}: {output.stat().st_size} bytes')
    return 0


if __name__ == '__main__':
    sys.exit(main())
