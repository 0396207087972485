"""Orders that load models on engines."""
