"""The control process: the replicated log and its leader."""
