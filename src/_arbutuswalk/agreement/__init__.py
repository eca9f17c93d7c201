"""The replicated log: election, replication, membership, leases."""
