"""Runs clang-tidy on the files whose last clean run does not stand any more.

A clean run is kept under a digest of everything that decides its result: the
linter's version and settings, the compile command, and the preprocessed file with
its comments and macros. Findings are never kept, so a file with findings is
checked and reported each time.
"""
import concurrent.futures
import hashlib
import json
import pathlib
import shlex
import subprocess
import sys


def preprocessed(entry: dict) -> bytes:
    """The translation unit with comments (for NOLINT) and macro definitions."""
    command = shlex.split(entry["command"])
    if command and command[0].endswith("ccache"):
        command = command[1:]
    if "-o" in command:
        at = command.index("-o")
        del command[at:at + 2]
    command = [it for it in command if it != "-c"] + ["-E", "-C", "-dD"]
    return subprocess.run(command, cwd=entry["directory"], check=True,
                          capture_output=True).stdout


def digest_of(entry: dict, common: bytes) -> str:
    digest = hashlib.sha256(common)
    digest.update(entry["command"].encode())
    digest.update(preprocessed(entry))
    return digest.hexdigest()


def check(path: str, entry: dict | None, build: pathlib.Path, common: bytes,
          passed: pathlib.Path) -> int:
    stamp = passed / digest_of(entry, common) if entry else None
    if stamp and stamp.exists():
        return 0
    run = subprocess.run(["clang-tidy", "--quiet", "-p", str(build), path],
                         capture_output=True, text=True)
    if run.stdout:
        print(run.stdout, end="", flush=True)
    # Warnings alone leave the exit code at 0: only silence counts as clean.
    if run.returncode == 0 and not run.stdout and stamp:
        stamp.touch()
    return run.returncode


def main() -> int:
    build, jobs, files = pathlib.Path(sys.argv[1]), int(sys.argv[2]), sys.argv[3:]
    entries = {str(pathlib.Path(it["file"]).resolve()): it
               for it in json.loads((build / "compile_commands.json").read_text())}
    version = subprocess.run(["clang-tidy", "--version"], check=True, capture_output=True)
    common = version.stdout + b"".join(
        it.read_bytes() for it in sorted(pathlib.Path(".").rglob(".clang-tidy"))
        if not it.parts[0].startswith(("build", "target")))
    passed = build / "lint-passed"
    passed.mkdir(exist_ok=True)
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        results = list(pool.map(
            lambda it: check(it, entries.get(str(pathlib.Path(it).resolve())), build,
                             common, passed), files))
    failed = sum(it != 0 for it in results)
    if failed:
        print(f"{failed} of {len(files)} files have findings")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
