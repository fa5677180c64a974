"""Runs a node on a machine that started at another time than the others."""

import os
import runpy
import time

__all__ = ('SKEW_NAME', 'main')

SKEW_NAME = 'SOAK_BOOTTIME_SKEW_S'


def main() -> None:
    """Shift the clock since the start of the machine, and run the node."""
    skew_s = float(os.environ[SKEW_NAME])
    read_clock_s = time.clock_gettime

    def read_shifted_s(clock: int) -> float:
        shift_s = skew_s if clock == time.CLOCK_BOOTTIME else 0
        return read_clock_s(clock) + shift_s

    time.clock_gettime = read_shifted_s
    runpy.run_module('turmericcrank_platform', run_name='__main__')


if __name__ == '__main__':
    main()
