"""The entry process: sockets and tasks around the steering core."""
