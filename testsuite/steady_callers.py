"""Callers that send requests continuously and check each response."""

import threading

import harness


class SteadyCallers:
    """Threads that check that each response is complete and correct.

    The text must be that of the version whose digest the response names, and
    that digest must be one of the declared `digests`.
    """

    def __init__(self, cluster, model, digests, threads=4):
        self.cluster = cluster
        self.model = model
        self.digests = digests
        self.outcomes = {}
        self.wrong = []
        self.served = {}
        self.lock = threading.Lock()
        self.done = threading.Event()
        self.threads = [threading.Thread(target=self.send, args=(number,))
                        for number in range(threads)]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.done.set()
        for thread in self.threads:
            thread.join()

    def send(self, thread):
        number = 0
        while not self.done.is_set():
            number += 1
            prompt = "caller %d request %d" % (thread, number)
            entry = self.cluster.entries[number % len(self.cluster.entries)]
            try:
                reply = harness.completion(entry, self.model, prompt)
            except OSError as error:
                self.note("no answer", prompt, str(error))
                continue
            self.judge(prompt, reply)

    def judge(self, prompt, reply):
        if reply.outcome != "completed":
            self.note(reply.outcome, None, None)
            return
        digest = reply.headers.get("x-model-digest", "")
        text = reply.json()["choices"][0]["text"]
        if digest not in self.digests:
            self.note("completed", prompt, "digest '%s'" % digest)
        elif text != harness.expected_text(digest, prompt, 8):
            self.note("completed", prompt, "text of another version")
        else:
            with self.lock:
                self.served[digest] = self.served.get(digest, 0) + 1
            self.note("completed", None, None)

    def note(self, outcome, prompt, fault):
        with self.lock:
            self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
            if fault:
                self.wrong.append((prompt, fault))
