"""What the verbs of the command line do, beside `serve`; each is imported when it is called."""
