"""Duties, which only one process may hold at a time.

`clock` computes how long a holder may act. `holder` waits in line for a duty, holds it and gives it up. `command` runs
a program while a duty is held, under a `guard` that is started by `guarded`. `cli` has the commands.

A duty is the key `duty/NAME/holder` under its holder's lease. Its token is the revision that created the key, so tokens
increase and never repeat. The candidates in line are the keys `duty/NAME/line/...`, ordered by the revisions that
created them.
"""
