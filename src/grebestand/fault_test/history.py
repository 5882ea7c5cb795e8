"""Histories as files: one Parquet table of what tasks and users saw, by the library `pyarrow`."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass, field, fields
from pathlib import Path
from typing import Any

from ..emulators.task_execution import TaskEvent
from ..errors import GrebestandError

#: the version of the files' columns and metadata
FORMAT = "1"


class HistoryFileError(GrebestandError, ValueError):
    """A file is not a history.

    Attributes:
        path: the file.
        reason: what is wrong with it.
    """

    def __init__(self, path: Path, reason: str) -> None:
        self.path = path
        self.reason = reason
        super().__init__(f"{path}: {reason}")


@dataclass
class History:
    """What happened in a run.

    Attributes:
        cancel_s: a cancelled gang has left its machines after so many seconds.
        rows: what tasks and users saw.
        about: what the run was: its seed and the number of its clusters.
    """

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

    rows = [asdict(row) for row in history.rows]
    columns = {column.name: [row[column.name] for row in rows] for column in fields(TaskEvent)}
    types = {"at": pa.float64(), "task": pa.int32(), "tasks": pa.int32(), "attempt": pa.int64()}
    schema = pa.schema(
        [(column.name, types.get(column.name, pa.string())) for column in fields(TaskEvent)],
        metadata={"format": FORMAT, "cancel_s": repr(history.cancel_s), "about": json.dumps(history.about)},
    )
    pq.write_table(pa.table(columns, schema=schema), path, compression="zstd")


def read(path: Path) -> History:
    """Read a history from a Parquet file.

    Raises:
        HistoryFileError: the file cannot be read, or is not a history of this version.
    """
    import pyarrow as pa
    import pyarrow.parquet as pq

    try:
        table = pq.read_table(path)
    except (OSError, pa.ArrowInvalid) as error:
        raise HistoryFileError(path, f"not a history: {str(error).splitlines()[0]}") from error
    metadata = {key.decode(): value.decode() for key, value in (table.schema.metadata or {}).items()}
    columns = {column.name for column in fields(TaskEvent)}
    if metadata.get("format") != FORMAT or not columns <= set(table.column_names):
        found = metadata.get("format", "no format named")
        raise HistoryFileError(path, f"not a history of this version ({found})")
    rows = [TaskEvent(**{name: row[name] for name in columns}) for row in table.to_pylist()]
    return History(float(metadata["cancel_s"]), rows, json.loads(metadata["about"]))
