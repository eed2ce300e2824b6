"""What the cases share: waiting, and the exit codes 0 (the rule held), 1 (it was broken), 2 (the case could not run)."""
import asyncio
import os
import signal
import sys
import time
import traceback

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    pass


def need(condition, text):
    if not condition:
        raise CannotRun(text)


async def wait_for(what, timeout):
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        if what():
            return True
        await asyncio.sleep(0.02)
    return False


def exit_code(main):
    """Returns what `main` returns, or 2 if it fails: Python's own exit code 1 would mean a broken rule."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # ended early: main still ends the processes that it started
    try:
        return asyncio.run(main())
    except Exception:
        traceback.print_exc()
        return 2


async def run_case(world, play, rule, limit_s=115):
    """Plays the case and returns the exit code of the script."""
    try:
        await asyncio.wait_for(play(world), limit_s)
        world.check_nodes()
    except Exception as e:  # whatever keeps the case from its end, the rule was not judged
        world.note("case", f"could not run: {e!r}")
        return 2
    finally:
        world.stop()
    broken = any(name == rule for name, _ in world.violations)
    world.note("case", "the rule was broken" if broken else "the rule held")
    return 1 if broken else 0
