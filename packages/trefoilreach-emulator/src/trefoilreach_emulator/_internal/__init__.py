"""Implementation of the emulators and tools."""
