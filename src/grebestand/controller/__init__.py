"""One controller process: its parts, its loops and its servers."""
