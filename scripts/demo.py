#!/usr/bin/env python3
"""Starts a local deployment, runs a job through it and shows the answer."""
import json
import os
import shutil
import sys
import urllib.request

from deployment import Deployment, ROOT


def post(node, path, body):
    request = urllib.request.Request(f"http://{node['http']}{path}", data=body.encode(),
                                     method="POST")
    with urllib.request.urlopen(request, timeout=30) as response:
        return json.load(response)


def main():
    binaries = sys.argv[1]
    folder = os.path.join(ROOT, "var", "demo")
    shutil.rmtree(folder, ignore_errors=True)
    deployment = Deployment(os.path.join(ROOT, "examples", "association.json"), folder, binaries)
    try:
        deployment.start_all()
        deployment.wait_ready()
        domains = deployment.settings["domains"]
        print(f"{len(deployment.processes)} processes run in {len(domains)} domains")
        first, other = deployment.nodes("entry")[0], deployment.nodes("entry")[1]
        job_id = post(first, "/v1/ids", "")["id"]
        job = json.dumps({"id": job_id, "service": "hoso", "team": "members",
                          "tasks": ["120", "80", "200"], "deadline_ms": 10000})
        print(f"submitting {job} to {first['name']}")
        print("answer:", json.dumps(post(first, "/v1/jobs", job), indent=2))
        print(f"submitting the same job again, to {other['name']} in {other['domain']}")
        again = post(other, "/v1/jobs", job)
        starts = [line for line in open(deployment.history_path(), encoding="utf-8")
                  if '"start"' in line and job_id in line]
        print(f"the same answer: {again['state']}; starts at targets: {len(starts)} for 3 tasks")
        return 0 if again["state"] == "complete" and len(starts) == 3 else 1
    finally:
        deployment.stop_all()


if __name__ == "__main__":
    sys.exit(main())
