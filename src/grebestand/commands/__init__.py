"""The subcommands of the command line except `serve`; imported only if the subcommand is not `serve`."""
