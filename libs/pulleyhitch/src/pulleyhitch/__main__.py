"""Run as `python -m pulleyhitch`."""

from pulleyhitch.cli import main

main()
