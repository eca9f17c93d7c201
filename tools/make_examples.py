"""Generates the workload files of the examples, which are committed."""

import json
import pathlib
import random

EXAMPLES_DIRECTORY = pathlib.Path(__file__).parent.parent / "examples"


def make_model_request(at_ms, workspace, upstream, ref, rng, **extra):
    """Returns a random model request."""
    item = {
        "at_ms": at_ms,
        "workspace": workspace,
        "kind": rng.choice(["completions", "chat"]),
        "upstream": upstream,
        "ref": ref,
        "max_tokens": rng.randint(20, 120),
        "stream": rng.random() < 0.8,
        "deadline_ms": 60000,
        "key": f"key-{ref}",
    }
    if rng.random() < 0.05:
        item["resend_after_ms"] = rng.randint(50, 1500)
    return {**item, **extra}


def make_service_call(at_ms, workspace, upstream, ref, path, rng, **extra):
    """Returns a call to a plain service, resent at random."""
    item = {
        "at_ms": at_ms,
        "workspace": workspace,
        "kind": "service",
        "upstream": upstream,
        "ref": ref,
        "path": path,
        "deadline_ms": 20000,
        "key": f"key-{ref}",
    }
    if rng.random() < 0.15:
        item["resend_after_ms"] = rng.randint(5, 1000)
    return {**item, **extra}


def restwaarde_requests(rng):
    """Yields appraisals over shared dossiers, lot claims and lot reads."""
    workspace_weights = [("veiling", 6), ("handel", 4), ("magazijn", 2)]
    workspace_weights += [("retour", 1), ("inkoop", 1)]
    workspaces = [
        workspace
        for workspace, weight in workspace_weights
        for _ in range(weight)
    ]
    for i in range(160):
        at_ms = int(i * 110 + rng.random() * 80)
        dossier = f"dossier-{int(rng.paretovariate(1.2)) % 24}"
        yield make_model_request(
            at_ms,
            rng.choice(workspaces),
            "appraisal",
            f"app-{i}",
            rng,
            dossier=dossier,
            dossier_chars=rng.choice([2000, 4000, 8000]),
            ask=f"Appraise lot {i} for the auction",
        )
    for i in range(120):
        at_ms = int(i * 145 + rng.random() * 100)
        lot = rng.randint(1, 60)
        if rng.random() < 0.6:
            yield make_service_call(
                at_ms,
                rng.choice(workspaces),
                "claiming",
                f"claim-{i}",
                "/claims",
                rng,
                body={"lot": lot},
            )
        else:
            yield make_service_call(
                at_ms,
                rng.choice(workspaces),
                "claiming",
                f"lots-{i}",
                f"/lots/{lot}",
                rng,
                method="GET",
                key="",
            )


def namib_requests(rng):
    """Yields alarm summaries, restarts, acknowledgements, status reads."""
    workspace_weights = [("khomas-city", 5), ("erongo", 4), ("hardap", 2)]
    workspace_weights += [("farm-board-north", 1), ("farm-board-south", 1)]
    workspaces = [
        workspace
        for workspace, weight in workspace_weights
        for _ in range(weight)
    ]
    for i in range(140):
        at_ms = int(i * 125 + rng.random() * 90)
        station = f"station-{rng.randint(1, 30)}"
        yield make_model_request(
            at_ms,
            rng.choice(workspaces),
            "assistant",
            f"alarm-{i}",
            rng,
            dossier=station,
            dossier_chars=rng.choice([1000, 3000]),
            ask=f"Summarise the alarm history of {station}",
            priority=rng.choice([1, 5, 8]),
        )
    for i in range(140):
        at_ms = int(i * 125 + rng.random() * 90)
        station = rng.randint(1, 30)
        draw = rng.random()
        chosen_workspace = rng.choice(workspaces)
        if draw < 0.3:
            yield make_service_call(
                at_ms,
                chosen_workspace,
                "station-control",
                f"restart-{i}",
                f"/stations/{station}/restart",
                rng,
                body={"pump": rng.randint(1, 3)},
            )
        elif draw < 0.6:
            yield make_service_call(
                at_ms,
                chosen_workspace,
                "station-control",
                f"ack-{i}",
                "/alarms/ack",
                rng,
                body={"alarm": i},
            )
        else:
            yield make_service_call(
                at_ms,
                chosen_workspace,
                "station-control",
                f"read-{i}",
                f"/stations/{station}",
                rng,
                method="GET",
                key="",
            )


def write_workload(example, items):
    """Writes the workload file of one example in order of time."""
    ordered = sorted(items, key=lambda item: item["at_ms"])
    path = EXAMPLES_DIRECTORY / example / "workload.jsonl"
    path.parent.mkdir(parents=True, exist_ok=True)
    lines = [json.dumps(item, sort_keys=True) for item in ordered]
    path.write_text("\n".join(lines) + "\n", encoding="utf-8")


if __name__ == "__main__":
    write_workload("restwaarde", restwaarde_requests(random.Random(41)))
    write_workload("namib", namib_requests(random.Random(42)))
