"""Batch jobs: acceptance, the store side, the worker side, retention."""
