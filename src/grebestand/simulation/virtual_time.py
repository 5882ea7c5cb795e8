"""Virtual time under gevent: an event loop whose clock advances to the next timer as soon as no callback is ready.

gevent accepts a loop object, so greenlets, sleeps, timeouts, events and locks work unchanged, and controllers run their
real code. There are no sockets. Runs are deterministic.
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

#: the key of the owner in the locals that gevent shares between a greenlet and all greenlets that it spawns
OWNER_KEY = "owner"


def set_owner(owner: object) -> None:
    """Set the owner of the running greenlet; greenlets that it spawns, and their timers, get the same owner.

    A pause in `VirtualLoop.paused_until` concerns all timers of an owner.
    """
    gevent.getcurrent().spawn_tree_locals = {OWNER_KEY: owner}


def current_owner() -> object:
    """Return the owner of the running greenlet, or None."""
    return getattr(gevent.getcurrent(), "spawn_tree_locals", {}).get(OWNER_KEY)


class _Callback:
    """A callback for the present turn of the loop, with the interface that gevent expects."""

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
    """A timer with the interface that gevent expects; it fires once, or periodically."""

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
    """An event loop on virtual time, without sockets, signals and threads.

    Attributes:
        time: The simulated time, in seconds.
        timer_numbers: Numbers that keep timers of the same time in the order in which they were started.
        ready: The callbacks of the present turn.
        timers: A heap of the time, the number and the timer; the timer is None once it was stopped.
        error_handler: gevent's hub, which handles exceptions of callbacks.
        paused_until: By owner, the simulated time until which its timers are delayed; clocks go on meanwhile.
    """

    MAXPRI = 0
    default = False
    approx_timer_resolution = 0.0

    def __init__(self) -> None:
        self.time = 0.0
        self.timer_numbers = itertools.count()
        self.ready: deque[_Callback] = deque()
        self.timers: list[list[Any]] = []
        self.error_handler: Any = None
        self.paused_until: dict[object, float] = {}

    def run_callback(self, func: Callable[..., Any], *args: Any) -> _Callback:
        """Schedule a function for this turn of the loop."""
        entry = _Callback(func, args)
        self.ready.append(entry)
        return entry

    run_callback_threadsafe = run_callback

    def timer(self, after: float, repeat: float = 0.0, ref: bool = True, priority: Any = None) -> _Timer:
        """Return a timer that fires after `after` simulated seconds and, if `repeat` is set, at this interval."""
        return _Timer(self, after, repeat)

    def now(self) -> float:
        """Return the simulated time, in seconds."""
        return self.time

    def update_now(self) -> None:
        """Do nothing: simulated time advances only when no callback is ready."""

    update = update_now

    def destroy(self) -> None:
        """Drop all callbacks and timers."""
        self.ready.clear()
        self.timers.clear()

    def run(self, nowait: bool = False, once: bool = False) -> None:
        """Run callbacks and timers in order, advancing the time to the next timer, until none is left."""
        while True:
            while self.ready:
                entry = self.ready.popleft()
                callback, args = entry.callback, entry.args
                entry.stop()
                if callback is not None:
                    self._call(callback, args or ())
            while self.timers and self.timers[0][2] is None:
                heapq.heappop(self.timers)
            if not self.timers:
                return
            due_at, _, timer = heapq.heappop(self.timers)
            resume_at = self.paused_until.get(timer.owner, due_at)
            if resume_at > due_at:
                timer.entry = [resume_at, next(self.timer_numbers), timer]
                heapq.heappush(self.timers, timer.entry)
                continue
            self.time = max(self.time, due_at)
            self._call(timer.fire, ())

    def _call(self, callback: Callable[..., Any], args: tuple[Any, ...]) -> None:
        try:
            callback(*args)
        except BaseException as error:
            if self.error_handler is None:
                raise
            self.error_handler.handle_error(callback, type(error), error, error.__traceback__)


@contextlib.contextmanager
def simulated_time() -> Iterator[VirtualLoop]:
    """Run all greenlets of this thread on virtual time until the end of the block."""
    previous_hub = gevent.hub.get_hub()
    loop = VirtualLoop()
    hub = gevent.hub.Hub(loop=loop)
    gevent.hub.set_hub(hub)
    try:
        yield loop
    finally:
        gevent.hub.set_hub(previous_hub)
        loop.destroy()
