"""Bytes that survive: a seam to the disk, a checksummed log, snapshots, recovery.

`disk` is the seam, `frames` the form of the log, `snapshot` that of a snapshot, `journal` ties them to one folder,
`commit` gathers the writes of many callers into one sync, `check` reads every byte, `archive` copies a folder.
"""
