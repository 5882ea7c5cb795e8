"""An accepted job is durable even if the response is lost or the controller crashes."""

from __future__ import annotations

import json

from support.single_leader import fail_over, polled_state, start_cluster


def test_accepted_job_survives_crash_of_its_controller() -> None:
    cluster, controller, _term, workers = start_cluster()
    job_id = str(json.loads(controller.job_api.submit(cluster.submission_body(shards=3)).body)["ref"])
    successor, new_term = fail_over(cluster, "node-1")
    for worker in workers:
        new_term.machine_reconciliation.query(new_term.inventory.by_name[worker.name])
    cluster.run_rounds(new_term)
    assert sum(len(worker.running_tasks()) for worker in workers) == 3
    assert polled_state(successor, job_id) == "pending"


def test_lost_answer_to_acceptance_is_settled_by_another_read() -> None:
    cluster, controller, _term, _ = start_cluster(1)
    cluster.store.responses_to_drop = 1
    assert controller.job_api.submit(cluster.submission_body()).status == 200
    assert len([k for k in cluster.store.data if k.startswith("live/")]) == 1
