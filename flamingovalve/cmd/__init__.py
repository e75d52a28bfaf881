"""Entry points of the daemon and the command-line tool."""
