"""A model checker that runs the replication core as it is, over every order of events."""
