"""Thrift codec and framed asyncio links between our processes."""
