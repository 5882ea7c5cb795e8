"""The operators' policy: its keys, and the variables of its expressions.

`default_policy.toml` describes each key. A policy file of the operators only has to contain the keys that it changes.
"""

from __future__ import annotations

from importlib import resources

from . import expressions
from .expressions import Expressions, ValidValues, Vocabulary

#: by name of each variable, the lowest and the highest value that the program guarantees
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

#: by key, the allowed values
KEYS: dict[str, ValidValues] = {
    "g": ValidValues(0, 1e6),
    "period_s": ValidValues(0.2, 600),
    "type_bound": ValidValues(1, 1000),
    "hold_s": ValidValues(1, 600),
    "payoff_production": ValidValues(1e-6, 1e9),
    "payoff_high": ValidValues(1e-6, 1e9),
    "payoff_normal": ValidValues(1e-6, 1e9),
    "payoff_low": ValidValues(1e-6, 1e9),
    "preempt_after_s": ValidValues(0, 1e6),
    "reclaim_after_s": ValidValues(0, 1e6),
    "begin_after_s": ValidValues(0, 1e6),
    "migrate": ValidValues(0, 1, boolean=True),
    "lend_spare": ValidValues(0, 1, boolean=True),
    "rent": ValidValues(0, 1, boolean=True),
    "rent_spot": ValidValues(0, 1, boolean=True),
    "idle_return_s": ValidValues(1, 1e9),
    "keep_empty": ValidValues(0, 1e6),
    "dead_after_s": ValidValues(1, 1e9),
    "sick_errors": ValidValues(1, 1e6),
    "slow_ratio": ValidValues(1.1, 100),
    "slow_samples": ValidValues(4, 1e6),
    "spread_reports": ValidValues(0, 1, boolean=True),
}

VOCABULARY = Vocabulary(KEYS, VARIABLES)

#: file name of the default policy, in the directory of this module
DEFAULT_FILE = "default_policy.toml"


def parse(text: str, file: str, base: Expressions | None = None) -> Expressions:
    """Return the policy in a TOML text.

    Args:
        text: The contents of a policy file.
        file: Name of the file, for error texts.
        base: Policy for the keys that are not in the file; if None, the file has to contain every key.

    Raises:
        ExpressionError: The policy is not valid; the error contains all faults.
    """
    return expressions.parse(expressions.read_text(text, file), file, VOCABULARY, base)


def default() -> Expressions:
    """Return the default policy."""
    text = resources.files("grebestand.settings").joinpath(DEFAULT_FILE).read_text("utf-8")
    return parse(text, DEFAULT_FILE)


def load(path: str | None) -> Expressions:
    """Return the policy in a file, completed by the default policy.

    Args:
        path: Path of the policy file; if None, the default policy is returned.

    Raises:
        ExpressionError: The file cannot be read or is not valid; the error contains all faults.
    """
    base = default()
    return base if path is None else expressions.parse(expressions.read(path), path, VOCABULARY, base)
