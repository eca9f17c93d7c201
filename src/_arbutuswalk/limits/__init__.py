"""Fair queues, quotas and retry limits."""
