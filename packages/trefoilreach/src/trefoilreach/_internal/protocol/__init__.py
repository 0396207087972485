"""Message formats, their parsing, and refusals."""
