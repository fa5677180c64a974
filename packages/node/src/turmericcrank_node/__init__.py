"""The daemon: tasks that own sockets, files and timers round the core."""
