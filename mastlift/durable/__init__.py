"""Durable storage: a checksummed log, snapshots, and recovery.

`disk` defines the interface to the disk, `frames` the encoding of the log, `segments` reads the log, `snapshot` reads
and writes snapshots, `journal` manages the files of one folder, `commit` groups the writes of many callers into one
sync, `check` verifies a folder, and `archive` makes and restores backups.
"""
