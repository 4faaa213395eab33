"""A model checker of what a holder believes of one engine, beside an engine that knows."""
