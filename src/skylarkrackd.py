"""Starts the daemon on the users' platform from a checkout, where nothing is installed."""

from skylarkrack.platform.daemon import main

main()
