"""Compares the answers that callers received with the starts that stand-in targets recorded."""
from collections import Counter

from deployment import read_lines


def job_and_task(attempt):
    job, task, _, _ = attempt.rsplit("~", 3)
    return job, int(task)


def violations(starts, answers):
    """Lists the violated guarantees; starts and answers are lists of lines of the stand-ins."""
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
                found.append(f"{line['id']}#{task} answered as not run, but was started")
            if outcome["fate"] == "ran" and count == 0:
                found.append(f"{line['id']}#{task} answered as ran, but was never started")
        all_succeeded = all(outcome["succeeded"] for outcome in outcomes)
        if (answer["state"] == "complete") != all_succeeded:
            found.append(f"{line['id']} has a state that contradicts its tasks")
    return found


def violations_of(deployment):
    import os
    return violations(read_lines(deployment.history_path()),
                      read_lines(os.path.join(deployment.folder, "answers.jsonl")))
