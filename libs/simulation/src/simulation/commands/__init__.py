"""The commands of `pulleyhitch-simulation`, a module for each kind of work."""
