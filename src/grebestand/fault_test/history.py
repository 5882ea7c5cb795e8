"""Reads and writes the event history of a fault test as a Parquet file, with the optional library `pyarrow`."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass, field, fields
from pathlib import Path
from typing import Any

from ..emulators.task_execution import TaskEvent
from ..errors import GrebestandError

#: Version of the columns and metadata of history files.
FORMAT_VERSION = "1"


class HistoryFileError(GrebestandError, ValueError):
    """A file could not be read as a history.

    Attributes:
        path: Path of the file.
        reason: What was expected of the file and what was found.
    """

    def __init__(self, path: Path, reason: str) -> None:
        self.path = path
        self.reason = reason
        super().__init__(f"{path}: {reason}")


@dataclass
class History:
    """The events that tasks and users observed in one run.

    Attributes:
        cancel_s: Time within which a cancelled gang must have left its machines, in seconds.
        events: Start and end of each task on a machine, and requests and responses of users.
        run_info: Parameters of the run: the seed and the number of clusters.
    """

    cancel_s: float
    events: list[TaskEvent] = field(default_factory=list)
    run_info: dict[str, Any] = field(default_factory=dict)

    def append(self, event: TaskEvent) -> None:
        """Append an event."""
        self.events.append(event)


def write_history(path: Path, history: History) -> None:
    """Write a history to a Parquet file."""
    import pyarrow as pa
    import pyarrow.parquet as pq

    rows = [asdict(event) for event in history.events]
    columns = {column.name: [row[column.name] for row in rows] for column in fields(TaskEvent)}
    types = {"at": pa.float64(), "task": pa.int32(), "tasks": pa.int32(), "attempt": pa.int64()}
    schema = pa.schema(
        [(column.name, types.get(column.name, pa.string())) for column in fields(TaskEvent)],
        metadata={"format": FORMAT_VERSION, "cancel_s": repr(history.cancel_s), "about": json.dumps(history.run_info)},
    )
    pq.write_table(pa.table(columns, schema=schema), path, compression="zstd")


def read_history(path: Path) -> History:
    """Read a history from a Parquet file.

    Raises:
        HistoryFileError: The file cannot be read, is not a Parquet file, or has another format version or other
            columns than this program writes.
    """
    import pyarrow as pa
    import pyarrow.parquet as pq

    try:
        table = pq.read_table(path)
    except (OSError, pa.ArrowInvalid) as error:
        raise HistoryFileError(
            path, f"not a history file: expected a Parquet file, found: {str(error).splitlines()[0]}"
        ) from error
    metadata = {key.decode(): value.decode() for key, value in (table.schema.metadata or {}).items()}
    columns = {column.name for column in fields(TaskEvent)}
    missing = sorted(columns - set(table.column_names))
    if metadata.get("format") != FORMAT_VERSION or missing:
        found = f"format version {metadata.get('format', 'unknown')}, missing columns: {', '.join(missing) or 'none'}"
        raise HistoryFileError(path, f"not a history file of this version: expected {FORMAT_VERSION}, found {found}")
    events = [TaskEvent(**{name: row[name] for name in columns}) for row in table.to_pylist()]
    return History(float(metadata["cancel_s"]), events, json.loads(metadata["about"]))
