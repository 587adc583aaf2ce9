"""Starts the daemon on the users' platform from a checkout, without an installation."""

from skylarkrack.platform.daemon import main

main()
