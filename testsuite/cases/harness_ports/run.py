"""Cases that run at the same time don't get the same ports."""

import concurrent.futures
import multiprocessing

import harness

PROCESSES = 4
PORTS = 300


def take_ports(barrier):
    # Each process asks while the others hold theirs without a listener.
    barrier.wait()
    ports = harness.free_ports(PORTS)
    barrier.wait()
    return ports


def body(_):
    context = multiprocessing.get_context("spawn")
    with context.Manager() as manager, \
            concurrent.futures.ProcessPoolExecutor(PROCESSES, context) as pool:
        barrier = manager.Barrier(PROCESSES)
        taken = pool.map(take_ports, [barrier] * PROCESSES)
        ports = [port for each in taken for port in each]
    twice = len(ports) - len(set(ports))
    assert twice == 0, "%d of %d ports were given twice" % (twice, len(ports))


if __name__ == "__main__":
    harness.run_case(body)
