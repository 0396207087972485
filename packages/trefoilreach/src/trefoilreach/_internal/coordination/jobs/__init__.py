"""Batch jobs, whose rows and results are kept in the platform's store."""
