"""The entry process: callers' and upstreams' HTTP."""
