"""The router process: tasks that own sockets and state."""
