"""One order of commands in several processes: Raft. `messages` is what members say to each other, `log` the entries in
memory, `progress` what a leader knows of each member, `core` the rules: pure, events and time in, actions out."""
