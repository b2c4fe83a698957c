"""Installs the router's libraries into target/deps for this machine."""

import hashlib
import pathlib
import shutil
import subprocess
import sys
import sysconfig

# Written last, so that an interrupted build has none.
RECORD = '.built-for'


def describe(root: pathlib.Path) -> str:
    """Return what a build depends on.

    Libraries contain code for one kind of processor and one version of the
    interpreter. A folder that is newer than the requirements may have come
    from another machine.
    """
    digest = hashlib.sha256()
    for name in ('deploy/requirements.txt', 'constraints.txt'):
        digest.update((root / name).read_bytes())
    return ' '.join(
        (
            sys.implementation.name,
            sysconfig.get_python_version(),
            sysconfig.get_platform(),
            digest.hexdigest(),
        )
    )


def install(root: pathlib.Path, folder: pathlib.Path) -> None:
    """Install the libraries into a folder that does not exist."""
    command = [sys.executable, '-m', 'pip', 'install', '-q']
    command += ['--target', str(folder)]
    command += ['-c', str(root / 'constraints.txt')]
    command += ['-r', str(root / 'deploy' / 'requirements.txt')]
    subprocess.run(command, check=True)


def build(root: pathlib.Path) -> None:
    """Install the libraries unless they are there for this machine."""
    folder = root / 'target' / 'deps'
    record = folder / RECORD
    wanted = describe(root)
    if record.is_file() and record.read_text() == wanted:
        return
    if folder.exists():
        # pip leaves alone what is there.
        shutil.rmtree(folder)
    install(root, folder)
    record.write_text(wanted)


if __name__ == '__main__':
    build(pathlib.Path(__file__).resolve().parent.parent)
