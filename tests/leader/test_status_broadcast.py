"""Data that a leader sends to the other controllers."""

from __future__ import annotations

import msgspec

from grebestand.wire.peers import CachedImages
from support.single_leader import fail_over, start_cluster


def test_successor_knows_cached_images() -> None:
    """Heartbeats do not list images: without the broadcast a successor started gangs on machines without the image.

    These machines had to fetch the image for half a minute.
    """
    cluster, controller, term, (connected, cut_off) = start_cluster()
    first = cluster.submit_job(controller, cargo="big", pullGb=40.0)
    cluster.run_rounds(term, 3)
    with_image, without_image = (connected, cut_off) if connected.running_tasks() else (cut_off, connected)
    with_image.finish_task(f"{first}/0")
    cluster.run_rounds(term, 4)
    sent_images = msgspec.msgpack.decode(
        msgspec.msgpack.encode(term.status_broadcast.cached_images()), type=CachedImages
    )
    successor, new_term = fail_over(cluster, "node-1")
    new_term.status_broadcast.restore_cached_images(sent_images)
    cluster.run_rounds(new_term, 3)
    second = cluster.submit_job(successor, cargo="big", pullGb=40.0)
    cluster.run_rounds(new_term, 3)
    assert with_image.running_tasks() == [f"{second}/0"] and not without_image.running_tasks()
