"""Online requests: admission, choice of a backend server, attempts."""
