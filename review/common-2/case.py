"""What the scripts of this review share.

A case starts the programs that the deploy file builds, with the stand-ins that
build-2.sh builds, on loopback addresses. It writes to record.txt in its folder
what was sent, answered and run, and ends with 1 if the rule was broken, 0 if it
held, and 2 if the case could not run.
"""

import os
import shutil
import sys
import tempfile
import threading
import time
import traceback

REVIEW = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
ROOT = os.path.dirname(REVIEW)
PROGRAMS = os.path.join(ROOT, "target", "src")
STANDINS = os.path.join(ROOT, "build-review-2", "testsuite")
sys.path.insert(0, os.path.join(ROOT, "testsuite"))

import harness  # noqa: E402

# What the platform fills into deploy/entry.json and deploy/target.json on the
# small deployments.
ENTRY_SETTINGS = {
    "bounds": {"strict_keys": True, "keys": 5000, "weights": 8000, "stop": 8},
    "repeats": {"ratio": 0.2, "slack": 104, "window": 10},
    "regions": ["a=one"]}
TARGET_SETTINGS = {
    "link": 9.4, "bounds": {"weights": 8000},
    "weights": {"origin_outages": True, "min_copy_share": 0.25}}
# Limits of the configuration that `fleetbench wire` prints for the site.
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304,
          "header_timeout_ms": 3000, "idle_timeout_ms": 15000}

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Lines of record.txt, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.started = time.monotonic()
        self.lock = threading.Lock()

    def add(self, text, *values):
        with self.lock:
            self.file.write("%8.3f %s\n" % (
                time.monotonic() - self.started, text % values))
            self.file.flush()


class Platform:
    """The part of the platform that watches a process.

    A process that exceeds its memory is killed, and one that has ended is
    started again after a short delay. Only the resident memory is counted, not
    the bytes that the kernel has received for the process.
    """

    RESTART_DELAY = 0.3
    CHECK_INTERVAL = 0.004

    def __init__(self, cluster, name, memory_mb, record):
        self.cluster = cluster
        self.name = name
        self.memory_mb = memory_mb
        self.record = record
        self.peak_mb = 0
        self.kills = 0
        self.stopped = False
        self.thread = threading.Thread(target=self.watch, daemon=True)
        self.thread.start()

    def resident_mb(self):
        process = self.cluster.processes[self.name]
        try:
            with open("/proc/%d/statm" % process.child.pid) as file:
                pages = int(file.read().split()[1])
        except (OSError, IndexError):
            return 0
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    def watch(self):
        while not self.stopped:
            used = self.resident_mb()
            self.peak_mb = max(self.peak_mb, used)
            if used > self.memory_mb and not self.stopped:
                self.kills += 1
                self.record.add("platform: %s uses %.0f MB of %d, killed",
                                self.name, used, self.memory_mb)
                self.cluster.processes[self.name].kill()
                time.sleep(self.RESTART_DELAY)
                if not self.stopped:
                    self.cluster.restart(self.name)
            time.sleep(self.CHECK_INTERVAL)

    def stop(self):
        self.stopped = True
        self.thread.join()


def logged(cluster, name, event):
    """Ids of the calls for which the stand-in `name` logged `event`."""
    calls = []
    with open(cluster.path(name + ".log"), errors="replace") as log:
        for line in log:
            words = line.split()
            if "event=" + event in words:
                calls += [word[5:] for word in words
                          if word.startswith("call=")]
    return calls


def link_programs(work):
    """A folder with the programs and the stand-ins, as the harness wants it."""
    folder = os.path.join(work, "bin")
    os.makedirs(folder)
    os.symlink(PROGRAMS, os.path.join(folder, "src"))
    os.symlink(STANDINS, os.path.join(folder, "testsuite"))
    return folder


def run(folder, body):
    """Runs body(cluster, record), which returns whether the rule was broken."""
    record = Record(folder)
    work = tempfile.mkdtemp(prefix="review-")
    cluster = None
    code = 2
    try:
        for program in (os.path.join(PROGRAMS, "vlentry"),
                        os.path.join(PROGRAMS, "vltarget"),
                        os.path.join(STANDINS, "standin_platform_store")):
            assert os.path.exists(program), "not built: " + program
        cluster = harness.Cluster(link_programs(work),
                                  os.path.join(work, "run"))
        record.add("trouble: %s", "yes" if HAS_TROUBLE else "no")
        broken = body(cluster, record)
        code = 1 if broken else 0
        record.add("rule %s", "broken" if broken else "held")
    except BaseException:  # The case could not run.
        record.add("the case could not run: %s", traceback.format_exc())
        traceback.print_exc()
    finally:
        if cluster:
            cluster.stop()
        shutil.rmtree(work, ignore_errors=True)
    print("exit code %d" % code)
    sys.stdout.flush()
    os._exit(code)
