"""Messages and connections between instances, and the listeners."""
