"""The control process: a member of the replicated control group."""
