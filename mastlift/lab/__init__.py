"""Faults and checkers. `simdisk` is a disk that loses what was not synced, `crash` and `damage` check the journal on
it, `mutations` break a rule on purpose, `faulty` makes a real disk fail, `kill` checks real processes."""
