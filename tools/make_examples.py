"""Writes the example inventories' workload files; the result is committed."""

import json
import pathlib
import random

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"


def model(at_ms, workspace, upstream, ref, rng, **extra):
    """Returns one model request."""
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


def call(at_ms, workspace, upstream, ref, path, rng, **extra):
    """Returns one call to a plain service."""
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


def restwaarde(rng):
    """Yields appraisals over shared dossiers, replies and lot claims."""
    shares = [("veiling", 6), ("handel", 4), ("magazijn", 2)]
    shares += [("retour", 1), ("inkoop", 1)]
    names = [name for name, n in shares for _ in range(n)]
    for i in range(160):
        at_ms = int(i * 110 + rng.random() * 80)
        dossier = f"dossier-{int(rng.paretovariate(1.2)) % 24}"
        yield model(
            at_ms,
            rng.choice(names),
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
            yield call(
                at_ms,
                rng.choice(names),
                "claiming",
                f"claim-{i}",
                "/claims",
                rng,
                body={"lot": lot},
            )
        else:
            yield call(
                at_ms,
                rng.choice(names),
                "claiming",
                f"lots-{i}",
                f"/lots/{lot}",
                rng,
                method="GET",
                key="",
            )


def namib(rng):
    """Yields alarm summaries, fault notes, restarts and status reads."""
    shares = [("khomas-city", 5), ("erongo", 4), ("hardap", 2)]
    shares += [("farm-board-north", 1), ("farm-board-south", 1)]
    names = [name for name, n in shares for _ in range(n)]
    for i in range(140):
        at_ms = int(i * 125 + rng.random() * 90)
        station = f"station-{rng.randint(1, 30)}"
        yield model(
            at_ms,
            rng.choice(names),
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
        kind = rng.random()
        who = rng.choice(names)
        if kind < 0.3:
            yield call(
                at_ms,
                who,
                "station-control",
                f"restart-{i}",
                f"/stations/{station}/restart",
                rng,
                body={"pump": rng.randint(1, 3)},
            )
        elif kind < 0.6:
            yield call(
                at_ms,
                who,
                "station-control",
                f"ack-{i}",
                "/alarms/ack",
                rng,
                body={"alarm": i},
            )
        else:
            yield call(
                at_ms,
                who,
                "station-control",
                f"read-{i}",
                f"/stations/{station}",
                rng,
                method="GET",
                key="",
            )


def write(name, items):
    """Writes one workload file in order of time."""
    ordered = sorted(items, key=lambda item: item["at_ms"])
    path = EXAMPLES / name / "workload.jsonl"
    path.parent.mkdir(parents=True, exist_ok=True)
    lines = [json.dumps(item, sort_keys=True) for item in ordered]
    path.write_text("\n".join(lines) + "\n", encoding="utf-8")


if __name__ == "__main__":
    write("restwaarde", restwaarde(random.Random(41)))
    write("namib", namib(random.Random(42)))
