"""Online requests: admission queue, choice of a backend server, attempts and retries."""
