"""The sockets and tasks of the entry process, around the steering core."""
