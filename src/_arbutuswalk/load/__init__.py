"""Load generator that checks the content of every answer."""
