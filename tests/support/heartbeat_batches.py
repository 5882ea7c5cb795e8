"""A batch receiver of a leader in memory, for tests of forwarded heartbeats."""

from __future__ import annotations

import msgspec

from grebestand.emulators.worker import WorkerEmulator
from grebestand.flow_control.overload import OverloadMonitor
from grebestand.heartbeat_relay.batch_receiver import BatchReceiver
from grebestand.leader.term import Term
from grebestand.settings.platform import ProcessLimits
from grebestand.simulation.single_controller_cluster import InMemoryCluster, InMemoryController
from grebestand.wire.peers import HeartbeatBatch, HeartbeatBatchResponse


def start_batch_receiver() -> tuple[InMemoryCluster, InMemoryController, Term, BatchReceiver, list[WorkerEmulator]]:
    """Return a cluster, its leader, the term, the leader's receiver of batches of `node-1`, and three workers."""
    cluster = InMemoryCluster()
    controller = InMemoryController(cluster, "node-0")
    term = controller.lead()
    workers = [cluster.add_worker(f"n-{i:06d}") for i in range(3)]
    cluster.run_rounds(term, 3)
    overload = OverloadMonitor(ProcessLimits(), cluster.clock)
    receiver = BatchReceiver(
        ["node-1"], controller.election, lambda: controller.term, overload, cluster.clock, lambda: None
    )
    return cluster, controller, term, receiver, workers


def responses_to(receiver: BatchReceiver, *heartbeats: bytes, sender: str = "node-1") -> list[tuple[int, bytes]]:
    """Deliver a batch of encoded heartbeats; return the status and body of the response to each."""
    response = receiver.answer(msgspec.msgpack.encode(HeartbeatBatch(sender, list(heartbeats))))
    return msgspec.msgpack.decode(response, type=HeartbeatBatchResponse).responses
