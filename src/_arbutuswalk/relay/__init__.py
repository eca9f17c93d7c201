"""The data path for requests that are relayed as they are."""
