"""A controller process: its parts, loops and servers."""
