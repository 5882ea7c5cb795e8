"""One controller process: servers and loops around the library's steps."""
