"""Implementation of the daemon; nothing here is a public interface."""
