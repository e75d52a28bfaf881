"""The two commands: the daemon and the command-line tool."""
