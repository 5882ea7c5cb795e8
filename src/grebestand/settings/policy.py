"""The operators' policy: what may be set, and the names that its expressions may use."""

from __future__ import annotations

from importlib import resources

from . import expressions
from .expressions import Expressions, Rule, Vocabulary

#: names an expression may use, with the range that the program guarantees for each
VARIABLES: dict[str, tuple[float, float]] = {
    "machines": (1.0, 1e6),
    "busy": (0.0, 1e6),
    "types": (1.0, 1e4),
    "zones": (1.0, 1e4),
    "teams": (0.0, 1e6),
    "controllers": (1.0, 1e3),
    "sockets": (1.0, 1e9),
    "report_s": (1e-3, 1e5),
    "lease_s": (1e-3, 1e6),
    "cancel_s": (1e-3, 1e6),
    "gang_wait_s": (1e-3, 1e6),
    "gang_peer_s": (1e-3, 1e6),
    "guarantee_s": (0.0, 1e6),
}


KEYS: dict[str, Rule] = {
    "g": Rule(0, 1e6),
    "period_s": Rule(0.2, 600),
    "type_bound": Rule(1, 1000),
    "hold_s": Rule(1, 600),
    "payoff_production": Rule(1e-6, 1e9),
    "payoff_high": Rule(1e-6, 1e9),
    "payoff_normal": Rule(1e-6, 1e9),
    "payoff_low": Rule(1e-6, 1e9),
    "preempt_after_s": Rule(0, 1e6),
    "reclaim_after_s": Rule(0, 1e6),
    "begin_after_s": Rule(0, 1e6),
    "migrate": Rule(0, 1, boolean=True),
    "lend_spare": Rule(0, 1, boolean=True),
    "rent": Rule(0, 1, boolean=True),
    "rent_spot": Rule(0, 1, boolean=True),
    "idle_return_s": Rule(1, 1e9),
    "keep_empty": Rule(0, 1e6),
    "dead_after_s": Rule(1, 1e9),
    "sick_errors": Rule(1, 1e6),
    "slow_ratio": Rule(1.1, 100),
    "slow_samples": Rule(4, 1e6),
    "spread_reports": Rule(0, 1, boolean=True),
}
VOCABULARY = Vocabulary(KEYS, VARIABLES)


def parse(text: str, file: str, base: Expressions | None = None) -> Expressions:
    """A policy from a file's text over `base`; raises `ExpressionError` with all faults found."""
    return expressions.parse(expressions.read_text(text, file), file, VOCABULARY, base)


def default() -> Expressions:
    text = resources.files("grebestand.settings").joinpath("default_policy.toml").read_text("utf-8")
    return parse(text, "default_policy.toml")


def load(path: str | None) -> Expressions:
    base = default()
    return base if path is None else expressions.parse(expressions.read(path), path, VOCABULARY, base)
