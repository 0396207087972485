"""Batch jobs: acceptance, claims on chunks, scheduling of items on workers, results."""
