"""Compares what callers were told with what the stand-in targets started."""
from collections import Counter

from deployment import read_lines


def job_and_task(attempt):
    job, task, _, _ = attempt.rsplit("~", 3)
    return job, int(task)


def problems(starts, answers):
    """Lists the broken promises: starts and answers are lists of lines of the stand-ins."""
    found = []
    counts = Counter(job_and_task(line["attempt"]) for line in starts if line["event"] == "start")
    for (job, task), count in counts.items():
        if count > 1:
            found.append(f"{job}#{task} started {count} times")
    for line in answers:
        answer = line["answer"]
        if answer is None or "tasks" not in answer:
            continue
        outcomes = answer["tasks"]
        for task, outcome in enumerate(outcomes):
            count = counts[(line["id"], task)]
            if outcome["fate"] == "not-run" and count > 0:
                found.append(f"{line['id']}#{task} told not run, but was started")
            if outcome["fate"] == "ran" and count == 0:
                found.append(f"{line['id']}#{task} told ran, but was never started")
        whole = all(outcome["succeeded"] for outcome in outcomes)
        if (answer["state"] == "complete") != whole:
            found.append(f"{line['id']} partial, but not marked as failed")
    return found


def problems_of(local):
    import os
    return problems(read_lines(local.history()),
                    read_lines(os.path.join(local.folder, "answers.jsonl")))
