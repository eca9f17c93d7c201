"""The entry process, which serves HTTP to callers and upstreams."""
