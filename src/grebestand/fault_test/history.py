"""Histories as files: one Parquet table of what tasks and users saw, by the library `pyarrow`."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass, field, fields
from pathlib import Path
from typing import Any

from ..emulators.task_execution import TaskEvent

FORMAT = "1"


class HistoryFileError(ValueError):
    """One line that names the file and what is wrong with it."""


@dataclass
class History:
    """What happened, and what it has to be held against."""

    cancel_s: float
    rows: list[TaskEvent] = field(default_factory=list)
    about: dict[str, Any] = field(default_factory=dict)

    def tell(self, row: TaskEvent) -> None:
        """Append an event."""
        self.rows.append(row)


def write(path: Path, history: History) -> None:
    """Write a history as a Parquet file."""
    import pyarrow as pa
    import pyarrow.parquet as pq

    columns = {f.name: [asdict(r)[f.name] for r in history.rows] for f in fields(TaskEvent)}
    types = {"at": pa.float64(), "task": pa.int32(), "tasks": pa.int32(), "attempt": pa.int64()}
    schema = pa.schema(
        [(f.name, types.get(f.name, pa.string())) for f in fields(TaskEvent)],
        metadata={"format": FORMAT, "cancel_s": repr(history.cancel_s), "about": json.dumps(history.about)},
    )
    pq.write_table(pa.table(columns, schema=schema), path, compression="zstd")


def read(path: Path) -> History:
    """Read a history from a Parquet file; raise `HistoryFileError` if it is not one."""
    import pyarrow as pa
    import pyarrow.parquet as pq

    try:
        table = pq.read_table(path)
    except (OSError, pa.ArrowInvalid) as e:
        raise HistoryFileError(f"{path}: not a history: {str(e).splitlines()[0]}") from e
    meta = {k.decode(): v.decode() for k, v in (table.schema.metadata or {}).items()}
    wanted = {f.name for f in fields(TaskEvent)}
    if meta.get("format") != FORMAT or not wanted <= set(table.column_names):
        raise HistoryFileError(f"{path}: not a history of this version ({meta.get('format', 'no format named')})")
    rows = [TaskEvent(**{k: r[k] for k in wanted}) for r in table.to_pylist()]
    return History(float(meta["cancel_s"]), rows, json.loads(meta["about"]))
