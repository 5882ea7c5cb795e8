"""Simulated time under gevent: a loop whose clock jumps to the next timer as soon as nothing else is to be run.

gevent takes its loop as an object, so that greenlets, sleeps, timeouts, events and locks work on it unchanged; what the
controllers run in such a world is their real code. There are no sockets. The same seeds give the same run.
"""

from __future__ import annotations

import contextlib
import heapq
import itertools
from collections import deque
from collections.abc import Callable, Iterator
from typing import Any

import gevent
import gevent.hub

#: under this name, who owns a tree of greenlets, among what all that one spawns share
OWNER_KEY = "owner"


def set_owner(owner: object) -> None:
    """From here on this greenlet, all that it spawns, and their timers belong to that owner."""
    gevent.getcurrent().spawn_tree_locals = {OWNER_KEY: owner}


def current_owner() -> object:
    """The owner of the running greenlet, or None."""
    return getattr(gevent.getcurrent(), "spawn_tree_locals", {}).get(OWNER_KEY)


class _Call:
    """Something to be called soon; what gevent knows of a loop's callback."""

    def __init__(self, callback: Callable[..., Any], args: tuple[Any, ...]) -> None:
        self.callback: Callable[..., Any] | None = callback
        self.args: tuple[Any, ...] | None = args

    def stop(self) -> None:
        self.callback = self.args = None

    close = stop

    @property
    def pending(self) -> bool:
        return self.callback is not None

    def __bool__(self) -> bool:
        return self.pending


class _Timer:
    """A timer by gevent's interface; it fires once, or again and again."""

    def __init__(self, loop: VirtualLoop, after: float, repeat: float) -> None:
        self.loop = loop
        self.after = after
        self.repeat = repeat
        self.callback: Callable[..., Any] | None = None
        self.args: tuple[Any, ...] | None = None
        self.entry: list[Any] | None = None
        self.owner = current_owner()

    def start(self, callback: Callable[..., Any], *args: Any, update: bool = True) -> None:
        self.callback, self.args = callback, args
        self._set(self.after)

    def again(self, callback: Callable[..., Any], *args: Any, update: bool = True) -> None:
        self.stop()
        self.callback, self.args = callback, args
        self._set(self.repeat or self.after)

    def _set(self, after: float) -> None:
        self.entry = [self.loop.time + max(0.0, after), next(self.loop.timer_numbers), self]
        heapq.heappush(self.loop.timers, self.entry)

    def fire(self) -> None:
        callback, args = self.callback, self.args
        self.entry = None
        if self.repeat:
            self._set(self.repeat)
        if callback is not None:
            callback(*(args or ()))

    def stop(self) -> None:
        if self.entry is not None:
            self.entry[2] = None
            self.entry = None
        self.callback = self.args = None

    close = stop

    @property
    def active(self) -> bool:
        return self.entry is not None

    @property
    def pending(self) -> bool:
        return False

    def __enter__(self) -> _Timer:
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()


class VirtualLoop:
    """What gevent's hub asks of a loop, as far as code without sockets, signals and threads needs it."""

    MAXPRI = 0
    default = False
    approx_timer_resolution = 0.0

    def __init__(self) -> None:
        self.time = 0.0
        self.timer_numbers = itertools.count()
        self.ready: deque[_Call] = deque()
        self.timers: list[list[Any]] = []
        self.error_handler: Any = None
        #: who stands still, and until when: their timers fire late, while all clocks go on
        self.paused_until: dict[object, float] = {}

    def run_callback(self, func: Callable[..., Any], *args: Any) -> _Call:
        """Have a function called in this turn of the loop."""
        call = _Call(func, args)
        self.ready.append(call)
        return call

    run_callback_threadsafe = run_callback

    def timer(self, after: float, repeat: float = 0.0, ref: bool = True, priority: Any = None) -> _Timer:
        """A timer in simulated seconds."""
        return _Timer(self, after, repeat)

    def now(self) -> float:
        """The simulated time, in seconds."""
        return self.time

    def update_now(self) -> None:
        """Nothing: simulated time moves only when the loop has nothing else to do."""

    update = update_now

    def destroy(self) -> None:
        """Drop all calls and timers."""
        self.ready.clear()
        self.timers.clear()

    def run(self, nowait: bool = False, once: bool = False) -> None:
        """Run calls and timers in order, moving time to the next timer, until none is left."""
        while True:
            while self.ready:
                call = self.ready.popleft()
                callback, args = call.callback, call.args
                call.stop()
                if callback is not None:
                    self._call(callback, args or ())
            while self.timers and self.timers[0][2] is None:
                heapq.heappop(self.timers)
            if not self.timers:
                return
            due, _, timer = heapq.heappop(self.timers)
            thaw = self.paused_until.get(timer.owner, due)
            if thaw > due:
                timer.entry = [thaw, next(self.timer_numbers), timer]
                heapq.heappush(self.timers, timer.entry)
                continue
            self.time = max(self.time, due)
            self._call(timer.fire, ())

    def _call(self, callback: Callable[..., Any], args: tuple[Any, ...]) -> None:
        try:
            callback(*args)
        except BaseException as e:
            if self.error_handler is None:
                raise
            self.error_handler.handle_error(callback, type(e), e, e.__traceback__)


@contextlib.contextmanager
def simulated_time() -> Iterator[VirtualLoop]:
    """Everything that gevent does in this thread until the end of the block happens on simulated time."""
    before = gevent.hub.get_hub()
    loop = VirtualLoop()
    hub = gevent.hub.Hub(loop=loop)
    gevent.hub.set_hub(hub)
    try:
        yield loop
    finally:
        gevent.hub.set_hub(before)
        loop.destroy()
