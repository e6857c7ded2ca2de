"""Access control of callers, operators and peers.

Callers and operators connect by TLS; the certificate is replaced without a
restart and without a refused connection. Operators authenticate with a token,
and the operators' paths do not exist at the callers' address. A target refuses
an order that is sent without the peers' key, and goes on serving. An entry
whose operators' API would be open to the network without a token does not
start.
"""

import http.client
import json
import os
import signal
import ssl
import subprocess

import harness

TOKEN = "operators-token-for-tests"
KEY = "peers-key-for-tests-0"


def make_certificate(cluster, name):
    certificate, key = cluster.path(name + ".pem"), cluster.path(name + ".key")
    subprocess.run(
        ["openssl", "req", "-x509", "-newkey", "ec", "-pkeyopt",
         "ec_paramgen_curve:prime256v1", "-nodes", "-days", "2", "-subj",
         "/CN=" + name, "-addext", "subjectAltName=IP:127.0.0.1", "-keyout",
         key, "-out", certificate], check=True, capture_output=True)
    return certificate, key


def install(cluster, certificate, key):
    for source, name in ((certificate, "tls.pem"), (key, "tls.key")):
        with open(source) as file:
            text = file.read()
        with open(cluster.path(name + ".new"), "w") as file:
            file.write(text)
        os.replace(cluster.path(name + ".new"), cluster.path(name))


def tls_call(address, trusted, method, path, body=None, headers=None,
             newest=None):
    context = ssl.create_default_context(cafile=trusted)
    if newest:
        context.maximum_version = newest
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPSConnection(host, int(port), timeout=20,
                                             context=context)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, answer.read()
    finally:
        connection.close()


def write(cluster, name, text):
    with open(cluster.path(name), "w") as file:
        file.write(text + "\n")
    return cluster.path(name)


def check_operators(cluster, entry, trusted):
    good = {"authorization": "Bearer " + TOKEN}
    for headers, status in ((good, 200), ({}, 401),
                            ({"authorization": "Bearer wrong"}, 401),
                            ({"authorization": TOKEN}, 401)):
        got = tls_call(entry["operators"], trusted, "GET", "/v1/status", None,
                       headers)
        assert got[0] == status, (headers, got)
    # The callers' address does not serve the operators' paths, even with a
    # token.
    got = tls_call(entry["callers"], trusted, "GET", "/v1/status", None, good)
    assert got[0] != 200, got


def check_orders(cluster, keyless_entry, trusted):
    """An entry without the peers' key orders a drain, which is refused."""
    done = cluster.vlctl("drain", "ledger-0", entry=1, check=False)
    assert done.returncode == 0 or done.returncode == 1, done
    log = open(cluster.path("ledger-0.log")).read()
    assert "event=credentials_refused" in log, log[-500:]
    assert "event=leaving" not in log, log[-500:]


def check_reload(cluster, entry, trusted, other):
    install(cluster, *other)
    cluster.processes["entry-0"].send(signal.SIGHUP)

    def shown():
        try:
            return tls_call(entry["callers"], other[0], "GET",
                            "/healthz")[0] == 200
        except ssl.SSLError:
            return False

    harness.wait_for("the new certificate", shown, 20)
    # An invalid file is rejected, and the present certificate stays in use.
    write(cluster, "tls.pem", "no certificate")
    cluster.processes["entry-0"].send(signal.SIGHUP)
    harness.wait_for("the failure's log line", lambda: "event=reload_failed"
                     in open(cluster.path("entry-0.log")).read(), 20)
    assert shown()


def check_open_operators(cluster, entry):
    settings = json.loads(json.dumps(entry["settings"]))
    settings["host"] = "entry-9"
    settings["listen"]["operators"] = "0.0.0.0:%d" % harness.free_ports(1)[0]
    settings["operators"] = {"token_file": ""}
    del settings["tls"]
    process = cluster.start("entry-9", "vlentry", settings)
    assert process.child.wait(20) == 1
    assert "only loopback is allowed" in open(
        cluster.path("entry-9.log")).read()


def body(cluster):
    first = make_certificate(cluster, "first")
    second = make_certificate(cluster, "second")
    install(cluster, *first)
    token_file = write(cluster, "token", TOKEN)
    key_file = write(cluster, "peers-key", KEY)
    entry = cluster.add_entry(
        "entry-0", operators={"token_file": token_file},
        peers={"key_file": key_file},
        tls={"certificate_file": cluster.path("tls.pem"),
             "key_file": cluster.path("tls.key"), "min_version": "1.3"})
    keyless = cluster.add_entry("entry-1")
    cluster.add_target("ledger-0", "ledger", kind="service",
                       peers={"key_file": key_file})
    cluster.start_platform()
    cluster.start_host_list()
    cluster.start_hosts()
    os.environ["VLCTL_TOKEN_FILE"] = token_file
    os.environ["VLCTL_CA_FILE"] = first[0]
    harness.declare_service(cluster)
    headers = {"x-organisation": "acme", "x-idempotent": "false",
               "idempotency-key": "fee-1"}

    def confirmed():
        return tls_call(entry["callers"], first[0], "POST",
                        "/services/fee-ledger/confirm", "{}",
                        headers)[0] == 200

    harness.wait_for("a confirmation over TLS", confirmed)
    try:
        tls_call(entry["callers"], first[0], "GET", "/healthz",
                 newest=ssl.TLSVersion.TLSv1_2)
        raise AssertionError("TLS 1.2 was spoken")
    except (ssl.SSLError, OSError):
        pass
    assert cluster.vlctl("get", "service").stdout
    del os.environ["VLCTL_TOKEN_FILE"]
    assert cluster.vlctl("get", "service", check=False).returncode != 0
    del os.environ["VLCTL_CA_FILE"]
    check_operators(cluster, entry, first[0])
    check_orders(cluster, keyless, first[0])
    check_reload(cluster, entry, first[0], second)
    check_open_operators(cluster, entry)


harness.run_case(body)
