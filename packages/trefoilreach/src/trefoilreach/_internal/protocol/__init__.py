"""Messages, verdicts and parsing."""
