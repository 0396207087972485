"""Implementation of the command line."""
