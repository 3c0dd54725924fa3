"""Runs clang-tidy on the files that have no valid record of a clean run.

Usage: lint.py BUILD_DIR JOBS FILE...

A clean run is recorded under a digest of everything that its result depends on: the
linter's version and settings, the compile command, and the preprocessed file with
its comments and macros. Findings are not recorded, so a file with findings is
checked and reported each time.
"""
import concurrent.futures
import hashlib
import json
import pathlib
import shlex
import subprocess
import sys


def preprocess(entry: dict) -> bytes:
    """Returns the preprocessed translation unit with its comments, which may hold NOLINT,
    and its macro definitions."""
    command = shlex.split(entry["command"])
    if command and command[0].endswith("ccache"):
        command = command[1:]
    if "-o" in command:
        at = command.index("-o")
        del command[at:at + 2]
    command = [it for it in command if it != "-c"] + ["-E", "-C", "-dD"]
    return subprocess.run(command, cwd=entry["directory"], check=True,
                          capture_output=True).stdout


def digest_of(entry: dict, shared_inputs: bytes) -> str:
    digest = hashlib.sha256(shared_inputs)
    digest.update(entry["command"].encode())
    digest.update(preprocess(entry))
    return digest.hexdigest()


def lint_file(path: str, entry: dict | None, build: pathlib.Path, shared_inputs: bytes,
              records: pathlib.Path) -> int:
    record = records / digest_of(entry, shared_inputs) if entry else None
    if record and record.exists():
        return 0
    run = subprocess.run(["clang-tidy", "--quiet", "-p", str(build), path],
                         capture_output=True, text=True)
    if run.stdout:
        print(run.stdout, end="", flush=True)
    # The exit code is 0 if there are only warnings, so a clean run must also print nothing.
    if run.returncode == 0 and not run.stdout and record:
        record.touch()
    return run.returncode


def main() -> int:
    build, jobs, files = pathlib.Path(sys.argv[1]), int(sys.argv[2]), sys.argv[3:]
    entries = {str(pathlib.Path(it["file"]).resolve()): it
               for it in json.loads((build / "compile_commands.json").read_text())}
    version = subprocess.run(["clang-tidy", "--version"], check=True, capture_output=True)
    shared_inputs = version.stdout + b"".join(
        it.read_bytes() for it in sorted(pathlib.Path(".").rglob(".clang-tidy"))
        if not it.parts[0].startswith(("build", "target")))
    records = build / "lint-passed"
    records.mkdir(exist_ok=True)
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        results = list(pool.map(
            lambda it: lint_file(it, entries.get(str(pathlib.Path(it).resolve())), build,
                                 shared_inputs, records), files))
    failed = sum(it != 0 for it in results)
    if failed:
        print(f"{failed} of {len(files)} files have findings")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
