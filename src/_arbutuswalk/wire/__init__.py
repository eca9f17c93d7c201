"""Thrift codec and framed asyncio links between the processes of the system."""
