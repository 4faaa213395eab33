"""Entry point of `python -m pulleyhitch`."""

from pulleyhitch.cli import main

main()
