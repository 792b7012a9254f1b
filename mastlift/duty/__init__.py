"""Duties that only one may hold. `clock` is the holder's arithmetic, pure; `holder` waits in line, holds and gives up;
`command` runs a program for as long as the duty is held; `cli` has the commands.

A duty is the key `duty/NAME/holder` under its holder's lease; its token is the revision that made it, so tokens grow
and never repeat. The line is `duty/NAME/line/...`, in the order of the revisions that made its keys.
"""
