"""One module per command; each has one function that the command line calls."""
