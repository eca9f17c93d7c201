"""Route lookup, endpoint directories and load balancing."""
