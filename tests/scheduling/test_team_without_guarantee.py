"""A team without a guarantee and without a limit uses free capacity."""

from __future__ import annotations

import json

from grebestand.simulation.single_controller_cluster import SETTINGS, InMemoryCluster, InMemoryController


def test_team_without_guarantee_gets_what_is_free() -> None:
    """Guards against reading `cpus_max = 0` as a limit of zero instead of no limit.

    Every submission of such a team was then refused with status 422.
    """
    guest = '[[params.teams]]\nname = "guest"\ncpus = 0.0\ncpus_max = 0.0\n\n[[params.teams]]'
    cluster = InMemoryCluster(SETTINGS.replace("[[params.teams]]", guest, 1))
    worker = cluster.add_worker("n-000000")
    controller = InMemoryController(cluster, "node-0")
    term = controller.lead()
    cluster.run_rounds(term, 3)
    cluster.submit_job(controller, crew="guest", shards=40, cpus=0.25, ramGb=0.1)
    cluster.run_rounds(term, 4)
    assert len(worker.running_tasks()) == 40
    assert json.loads(controller.job_api.submit(cluster.submission_body(crew="nobody")).body) == {
        "error": "unknown team"
    }
