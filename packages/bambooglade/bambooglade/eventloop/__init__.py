"""Single-threaded event loop: timers, non-blocking sockets, generator tasks."""
