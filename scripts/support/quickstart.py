"""The requests of scripts/quickstart: searches, an order and a preset switch.

Arguments: the program `ebonywick`, the address of the store, the addresses of the hosts.
"""

import http.client
import json
import subprocess
import sys
import time


def request(address, method, path, body=None, headers=None):
    """Returns (status, parsed JSON) of one HTTP request."""
    connection = http.client.HTTPConnection(address, timeout=10)
    connection.request(method, path, body, headers or {})
    response = connection.getresponse()
    content = response.read()
    connection.close()
    return response.status, json.loads(content or b"null")


def wait_ready(hosts, timeout_s=30):
    """Waits until GET /readyz of every host replies 200; exits after the timeout."""
    deadline = time.monotonic() + timeout_s
    for host in hosts:
        while True:
            try:
                status, _ = request(host, "GET", "/readyz")
                if status == 200:
                    break
            except OSError:
                pass
            if time.monotonic() > deadline:
                sys.exit(f"{host} did not become ready within {timeout_s} s")
            time.sleep(0.1)


def wait_search_answered(host, timeout_s=30):
    """Waits until a search is answered with status 200; exits after the timeout."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        status, answer = search(host, "Spitfire")
        if status == 200:
            return
        time.sleep(0.2)
    sys.exit(f"no search was answered within {timeout_s} s: {answer}")


def search(host, text):
    """Runs one search; returns (status, parsed JSON)."""
    body = json.dumps({"query": text})
    return request(host, "POST", "/v1/services/katalog/search", body, {"X-Caller": "quickstart"})


def main():
    binary, store, hosts = sys.argv[1], sys.argv[2], sys.argv[3:]
    wait_ready(hosts)
    wait_search_answered(hosts[0])
    _, entries = request(hosts[0], "GET", "/v1/entry-hosts")
    print("entry hosts:", ", ".join(it["id"] for it in entries["hosts"]),
          "valid for", entries["valid_for_ms"], "ms")
    addresses = [it["address"] for it in entries["hosts"]]
    texts = ["Spitfire", "Mustang", "303 Squadron", "Hurricane", "MiG-29", "desert", "1/48",
             "Lancaster", "F-16", "anniversary", "Mosquito", "Baza"]
    for n, text in enumerate(texts):
        status, answer = search(addresses[n % len(addresses)], text)
        if status != 200:
            sys.exit(f"search {text!r} failed with {status}: {answer}")
        coverage = answer["coverage"]
        print(f"search {text!r}: {len(answer['hits'])} hits, snapshot"
              f" {answer['snapshot']['version']}/{answer['snapshot']['epoch']},"
              f" coverage {coverage['merged']}/{coverage['total']}")
    order = json.dumps({"item": "KW-0001", "copies": 50})
    for attempt, address in enumerate(addresses[:2], 1):
        status, answer = request(address, "POST", "/v1/services/katalog/orders", order,
                                 {"Idempotency-Key": "quickstart-order-1"})
        if status != 200:
            sys.exit(f"order failed with {status}: {answer}")
        print(f"order, attempt {attempt} at {address}: {answer['outcome']},"
              f" repeated: {answer['repeated']}")
    print(subprocess.run([binary, "preset", "maintenance", "--store", store], check=True,
                         capture_output=True, text=True).stdout.strip())
    time.sleep(1)
    status, answer = search(addresses[0], "Spitfire")
    if status != 200:
        sys.exit(f"search after the preset switch failed with {status}: {answer}")
    print("preset:", request(hosts[0], "GET", "/v1/status")[1]["preset"], "- coverage without"
          f" domain c: {answer['coverage']['merged']}/{answer['coverage']['total']}")


if __name__ == "__main__":
    main()
